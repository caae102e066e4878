package org.plantainspur.standins.http;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * An HTTP response that a stand-in sends, for example
 * {@code Response.text(503, "").withHeader("X-Not-Run", "true")}.
 *
 * @param status the HTTP status code
 * @param headers the header fields by name, without Content-Length
 * @param body the bytes of the body
 */
public record Response(int status, Map<String, String> headers, byte[] body) {

	/** The status of a successful request. */
	public static final int OK = 200;

	/** The status of a conditional read if the content has not changed. */
	public static final int NOT_MODIFIED = 304;

	/** The status of a malformed request. */
	public static final int BAD_REQUEST = 400;

	/** The status of a path or an object that does not exist. */
	public static final int NOT_FOUND = 404;

	/** The status of a method that a path does not support. */
	public static final int METHOD_NOT_ALLOWED = 405;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	/**
	 * Returns a plain text response.
	 * @param status the HTTP status code
	 * @param text the body, sent as UTF-8
	 * @return a response of the media type {@code text/plain}
	 */
	public static Response text(int status, String text) {
		return new Response(status, Map.of("Content-Type", "text/plain"), text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns a JSON response.
	 * @param status the HTTP status code
	 * @param document a JSON tree, a map or a record that Jackson can serialize
	 * @return a response of the media type {@code application/json}
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
	 * Returns a JSON response that explains why a request failed.
	 * @param status the HTTP status code
	 * @param error the explanation, for people
	 * @return a response whose field {@code error} holds the explanation
	 */
	public static Response error(int status, String error) {
		return json(status, Map.of("error", error));
	}

	/**
	 * Returns a copy of this response with a header field.
	 * @param name the field name
	 * @param value the field value
	 * @return the copy; a field of the same name is replaced
	 */
	public Response withHeader(String name, String value) {
		Map<String, String> copy = new LinkedHashMap<>(this.headers);
		copy.put(name, value);
		return new Response(this.status, copy, this.body);
	}

}
