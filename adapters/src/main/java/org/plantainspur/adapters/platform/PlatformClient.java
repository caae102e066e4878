package org.plantainspur.adapters.platform;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.classic.methods.HttpPut;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.util.Timeout;

/**
 * Talks to the platform's table service and host list. Requests are never retried here,
 * since a write whose reply was lost may have taken effect.
 */
public final class PlatformClient implements AutoCloseable {

	private static final int CONFLICT = 409;

	private static final int NOT_MODIFIED = 304;

	private static final int NOT_FOUND = 404;

	private static final int OK = 200;

	private final String baseUrl;

	private final ObjectMapper mapper = new ObjectMapper();

	private final CloseableHttpClient client;

	/**
	 * Creates a client.
	 * @param baseUrl the platform's address, such as {@code http://127.0.0.1:7000}
	 * @param timeoutMillis the time for connecting and for each wait on an answer, in
	 * milliseconds
	 */
	public PlatformClient(String baseUrl, long timeoutMillis) {
		this.baseUrl = baseUrl;
		Timeout timeout = Timeout.ofMilliseconds(timeoutMillis);
		this.client = HttpClients.custom()
			.disableAutomaticRetries()
			.disableRedirectHandling()
			.disableCookieManagement()
			.setConnectionManager(PoolingHttpClientConnectionManagerBuilder.create()
				.setDefaultConnectionConfig(
						ConnectionConfig.custom().setConnectTimeout(timeout).setSocketTimeout(timeout).build())
				.build())
			.setDefaultRequestConfig(
					RequestConfig.custom().setResponseTimeout(timeout).setConnectionRequestTimeout(timeout).build())
			.build();
	}

	/**
	 * Reads one row.
	 * @param key the row's key
	 * @return the row, if there is one
	 * @throws IOException if no answer came
	 */
	public Optional<Row> row(String key) throws IOException {
		Reply reply = send(new HttpGet(this.baseUrl + "/table/row?key=" + encode(key)));
		if (reply.status() == NOT_FOUND) {
			return Optional.empty();
		}
		return Optional.of(toRow(reply.expect(OK)));
	}

	/**
	 * Reads rows in the order of their keys.
	 * @param prefix what every key starts with
	 * @param after the key to start after
	 * @param limit the most rows to read
	 * @return the rows
	 * @throws IOException if no answer came
	 */
	public List<Row> rows(String prefix, String after, int limit) throws IOException {
		Reply reply = send(new HttpGet(
				this.baseUrl + "/table/rows?prefix=" + encode(prefix) + "&after=" + encode(after) + "&limit=" + limit));
		List<Row> rows = new java.util.ArrayList<>();
		reply.expect(OK).path("rows").forEach((node) -> rows.add(toRow(node)));
		return rows;
	}

	/**
	 * Writes rows in one transaction if every condition holds.
	 * @param expectedVersions the version that each key must have, 0 for a key without a
	 * row
	 * @param writes the new values by key
	 * @return whether the conditions held and the rows were written
	 * @throws IOException if no answer came; the rows may have been written
	 */
	public boolean transact(Map<String, Long> expectedVersions, Map<String, JsonNode> writes) throws IOException {
		ObjectNode body = this.mapper.createObjectNode();
		ArrayNode conditions = body.putArray("conditions");
		expectedVersions
			.forEach((key, version) -> conditions.addObject().put("key", key).put("version", version.longValue()));
		ArrayNode values = body.putArray("writes");
		writes.forEach((key, value) -> values.addObject().put("key", key).set("value", value));
		HttpPost post = new HttpPost(this.baseUrl + "/table/transact");
		post.setEntity(new StringEntity(this.mapper.writeValueAsString(body), ContentType.APPLICATION_JSON));
		Reply reply = send(post);
		if (reply.status() == CONFLICT) {
			return false;
		}
		reply.expect(OK);
		return true;
	}

	/**
	 * Reads an object.
	 * @param name the object's name
	 * @return its content, if there is one
	 * @throws IOException if no answer came
	 */
	Optional<JsonNode> object(String name) throws IOException {
		Reply reply = send(new HttpGet(this.baseUrl + "/objects/" + name));
		return (reply.status() == NOT_FOUND) ? Optional.empty() : Optional.of(reply.expect(OK));
	}

	/**
	 * Writes an object.
	 * @param name the object's name
	 * @param content its new content
	 * @throws IOException if no answer came; the object may have been written
	 */
	void putObject(String name, JsonNode content) throws IOException {
		HttpPut put = new HttpPut(this.baseUrl + "/objects/" + name);
		put.setEntity(new StringEntity(this.mapper.writeValueAsString(content), ContentType.APPLICATION_JSON));
		send(put).expect(OK);
	}

	/**
	 * Reads the list of live and leaving hosts, if it has changed.
	 * @param known the entity tag of the list that the caller has, empty for none
	 * @return the list, or that it has not changed
	 * @throws IOException if no answer came
	 */
	HostList hosts(String known) throws IOException {
		HttpGet get = new HttpGet(this.baseUrl + "/hosts");
		if (!known.isEmpty()) {
			get.setHeader(HttpHeaders.IF_NONE_MATCH, known);
		}
		Reply reply = send(get);
		if (reply.status() == NOT_MODIFIED && !known.isEmpty()) {
			return new HostList.Unchanged();
		}
		return new HostList.Changed(reply.expect(OK).path("hosts"), reply.entityTag());
	}

	/**
	 * Returns the mapper for row values.
	 * @return the mapper
	 */
	ObjectMapper mapper() {
		return this.mapper;
	}

	@Override
	public void close() throws IOException {
		this.client.close();
	}

	private Reply send(ClassicHttpRequest request) throws IOException {
		return this.client.execute(request, (response) -> {
			String text = (response.getEntity() != null) ? EntityUtils.toString(response.getEntity()) : "";
			JsonNode json = text.isEmpty() ? this.mapper.createObjectNode() : this.mapper.readTree(text);
			Header tag = response.getFirstHeader(HttpHeaders.ETAG);
			return new Reply(request.getRequestUri(), response.getCode(), json, (tag != null) ? tag.getValue() : "");
		});
	}

	private static Row toRow(JsonNode node) {
		return new Row(node.path("key").asText(), node.path("version").asLong(), node.path("value"));
	}

	private static String encode(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8);
	}

	/**
	 * A row of the table.
	 *
	 * @param key the key
	 * @param version the number of writes of this row so far
	 * @param value the value
	 */
	public record Row(String key, long version, JsonNode value) {
	}

	/**
	 * The outcome of a conditional read of the host list.
	 */
	sealed interface HostList {

		/**
		 * The list differs from the one that the caller has.
		 *
		 * @param hosts the hosts as a JSON array
		 * @param entityTag identifies the list, empty if the platform gives none
		 */
		record Changed(JsonNode hosts, String entityTag) implements HostList {
		}

		/**
		 * The caller has the present list.
		 */
		record Unchanged() implements HostList {
		}

	}

	private record Reply(String path, int status, JsonNode json, String entityTag) {

		JsonNode expect(int expected) throws IOException {
			if (this.status != expected) {
				throw new IOException("the platform answered " + this.status + " to " + this.path);
			}
			return this.json;
		}

	}

}
