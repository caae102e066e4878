package org.plantainspur.standins;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * HTTP calls of tests. Each client is new, so that a connection that a fault has closed
 * is never used again.
 */
public final class Calls {

	private static final ObjectMapper mapper = new ObjectMapper();

	private final String base;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(5))
		.build();

	public Calls(String address) {
		this.base = "http://" + address;
	}

	public HttpResponse<String> send(String method, String path, String body, Map<String, String> headers, long millis)
			throws Exception {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(this.base + path))
			.timeout(Duration.ofMillis(millis))
			.method(method, HttpRequest.BodyPublishers.ofString(body));
		headers.forEach(request::header);
		return this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	public HttpResponse<String> send(String method, String path, String body) throws Exception {
		return send(method, path, body, Map.of(), 10_000);
	}

	public HttpResponse<String> get(String path) throws Exception {
		return send("GET", path, "");
	}

	public JsonNode json(String path) throws Exception {
		return mapper.readTree(get(path).body());
	}

	public void control(String path, String body) throws Exception {
		HttpResponse<String> answer = send("PUT", path, body);
		if (answer.statusCode() != 200) {
			throw new IllegalStateException(path + " was refused: " + answer.body());
		}
	}

}
