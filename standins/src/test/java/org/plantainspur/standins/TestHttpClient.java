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
 * Sends the HTTP requests of tests to one address, each on a connection of its own that
 * closes with the response. So no test uses a connection that a fault of another test has
 * closed, and none reaches a host's limit of connections with those that it has ended.
 */
public final class TestHttpClient {

	private static final ObjectMapper mapper = new ObjectMapper();

	private final String baseUri;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(5))
		.build();

	public TestHttpClient(String address) {
		this.baseUri = "http://" + address;
	}

	public HttpResponse<String> send(String method, String path, String body, Map<String, String> headers,
			long timeoutMillis) throws Exception {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create(this.baseUri + path))
			.timeout(Duration.ofMillis(timeoutMillis))
			.header("Connection", "close")
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

	public JsonNode getJson(String path) throws Exception {
		return mapper.readTree(get(path).body());
	}

	public void put(String path, String body) throws Exception {
		HttpResponse<String> response = send("PUT", path, body);
		if (response.statusCode() != 200) {
			throw new IllegalStateException("PUT " + this.baseUri + path + " failed with status "
					+ response.statusCode() + ": " + response.body());
		}
	}

}
