package org.plantainspur.standins.http;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A response. For example {@code Response.text(503, "").with("X-Not-Run", "true")}.
 *
 * @param status the HTTP status
 * @param headers the header fields
 * @param body the body
 */
public record Response(int status, Map<String, String> headers, byte[] body) {

	/** The status of a complete answer. */
	public static final int OK = 200;

	/** The status of a conditional read of what has not changed. */
	public static final int NOT_MODIFIED = 304;

	/** The status of a request that is malformed. */
	public static final int BAD_REQUEST = 400;

	/** The status of something that does not exist. */
	public static final int NOT_FOUND = 404;

	/** The status of a method that a path does not have. */
	public static final int METHOD_NOT_ALLOWED = 405;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/**
	 * Returns a response with a text.
	 * @param status the status
	 * @param text the text
	 * @return the response
	 */
	public static Response text(int status, String text) {
		return new Response(status, Map.of("Content-Type", "text/plain"), text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns a response with a JSON document.
	 * @param status the status
	 * @param document a tree, a map or a record with accessors that Jackson can write
	 * @return the response
	 */
	public static Response json(int status, Object document) {
		try {
			return new Response(status, Map.of("Content-Type", "application/json"), MAPPER.writeValueAsBytes(document));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("the document cannot be written as JSON", ex);
		}
	}

	/**
	 * Returns a response that names what is wrong with a request.
	 * @param status the status
	 * @param error what is wrong, for a person
	 * @return the response
	 */
	public static Response error(int status, String error) {
		return json(status, Map.of("error", error));
	}

	/**
	 * Returns this response with one more header field.
	 * @param name the name
	 * @param value the value
	 * @return a copy
	 */
	public Response with(String name, String value) {
		Map<String, String> copy = new LinkedHashMap<>(this.headers);
		copy.put(name, value);
		return new Response(this.status, copy, this.body);
	}

}
