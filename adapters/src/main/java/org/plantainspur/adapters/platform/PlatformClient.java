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
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.util.Timeout;

import org.plantainspur.adapters.http.StrictConnections;

/**
 * HTTP client of the platform's table, objects and host list. It never retries a request,
 * since a write whose response was lost may have taken effect. A response that is not
 * complete is an error.
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
	 * @param timeoutMillis the timeout for connecting and for each wait for a response,
	 * in milliseconds
	 */
	public PlatformClient(String baseUrl, long timeoutMillis) {
		this.baseUrl = baseUrl;
		Timeout timeout = Timeout.ofMilliseconds(timeoutMillis);
		this.client = HttpClients.custom()
			.disableAutomaticRetries()
			.disableRedirectHandling()
			.disableCookieManagement()
			.setConnectionManager(StrictConnections.managerBuilder("platform")
				.setDefaultConnectionConfig(
						StrictConnections.configBuilder().setConnectTimeout(timeout).setSocketTimeout(timeout).build())
				.build())
			.setDefaultRequestConfig(
					RequestConfig.custom().setResponseTimeout(timeout).setConnectionRequestTimeout(timeout).build())
			.build();
	}

	/**
	 * Reads one row.
	 * @param key the key of the row
	 * @return the row, empty if the table has none with this key
	 * @throws IOException if the platform did not answer as expected
	 */
	public Optional<Row> row(String key) throws IOException {
		Reply reply = send(new HttpGet(this.baseUrl + "/table/row?key=" + urlEncode(key)));
		if (reply.status() == NOT_FOUND) {
			return Optional.empty();
		}
		return Optional.of(parseRow(reply.requireStatus(OK)));
	}

	/**
	 * Reads rows in ascending order of their keys.
	 * @param prefix the prefix that the keys of the rows have in common
	 * @param after the key after which to start, exclusive
	 * @param limit the maximum number of rows to read
	 * @return the rows, empty if there are none after {@code after}
	 * @throws IOException if the platform did not answer as expected
	 */
	public List<Row> rows(String prefix, String after, int limit) throws IOException {
		Reply reply = send(new HttpGet(this.baseUrl + "/table/rows?prefix=" + urlEncode(prefix) + "&after="
				+ urlEncode(after) + "&limit=" + limit));
		List<Row> rows = new java.util.ArrayList<>();
		reply.requireStatus(OK).path("rows").forEach((node) -> rows.add(parseRow(node)));
		return rows;
	}

	/**
	 * Writes rows in one transaction if all expected versions match.
	 * @param expectedVersions the version that the row of each key must have, 0 if there
	 * must be no row
	 * @param writes the new values by key
	 * @return {@code true} if the rows were written, {@code false} if a version differed
	 * @throws IOException if the platform did not answer with success or conflict; the
	 * rows may have been written
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
		reply.requireStatus(OK);
		return true;
	}

	/**
	 * Reads an object.
	 * @param name the name of the object
	 * @return the content as JSON, empty if there is no such object
	 * @throws IOException if the platform did not answer as expected
	 */
	Optional<JsonNode> object(String name) throws IOException {
		Reply reply = send(new HttpGet(this.baseUrl + "/objects/" + name));
		return (reply.status() == NOT_FOUND) ? Optional.empty() : Optional.of(reply.requireStatus(OK));
	}

	/**
	 * Writes an object.
	 * @param name the name of the object
	 * @param content the new content
	 * @throws IOException if the platform did not confirm the write; the object may have
	 * been written
	 */
	void putObject(String name, JsonNode content) throws IOException {
		HttpPut put = new HttpPut(this.baseUrl + "/objects/" + name);
		put.setEntity(new StringEntity(this.mapper.writeValueAsString(content), ContentType.APPLICATION_JSON));
		send(put).requireStatus(OK);
	}

	/**
	 * Reads the list of live and leaving hosts if it has changed.
	 * @param knownEntityTag the entity tag of the list that the caller has, empty if it
	 * has none
	 * @return the list, or {@link HostList.Unchanged} if the caller has the current one
	 * @throws IOException if the platform did not answer as expected
	 */
	HostList hosts(String knownEntityTag) throws IOException {
		HttpGet get = new HttpGet(this.baseUrl + "/hosts");
		if (!knownEntityTag.isEmpty()) {
			get.setHeader(HttpHeaders.IF_NONE_MATCH, knownEntityTag);
		}
		Reply reply = send(get);
		if (reply.status() == NOT_MODIFIED && !knownEntityTag.isEmpty()) {
			return new HostList.Unchanged();
		}
		return new HostList.Changed(reply.requireStatus(OK).path("hosts"), reply.entityTag());
	}

	/**
	 * Returns the JSON mapper.
	 * @return the mapper for values of rows and objects
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
			Header entityTag = response.getFirstHeader(HttpHeaders.ETAG);
			return new Reply(request.getRequestUri(), response.getCode(), json,
					(entityTag != null) ? entityTag.getValue() : "");
		});
	}

	private static Row parseRow(JsonNode node) {
		return new Row(node.path("key").asText(), node.path("version").asLong(), node.path("value"));
	}

	private static String urlEncode(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8);
	}

	/**
	 * A row of the table.
	 *
	 * @param key the key that identifies the row
	 * @param version the number of times that the row has been written
	 * @param value the value as JSON
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
		 * @param entityTag identifies this version of the list, empty if the platform
		 * sent none
		 */
		record Changed(JsonNode hosts, String entityTag) implements HostList {
		}

		/**
		 * The caller has the current list.
		 */
		record Unchanged() implements HostList {
		}

	}

	private record Reply(String path, int status, JsonNode json, String entityTag) {

		JsonNode requireStatus(int expected) throws IOException {
			if (this.status != expected) {
				throw new IOException("the platform answered with status " + this.status + " to " + this.path);
			}
			return this.json;
		}

	}

}
