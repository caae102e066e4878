package org.plantainspur.adapters.http;

import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.plantainspur.core.request.Problem;

/**
 * Encodes a refusal as a problem document (RFC 9457).
 */
final class ProblemDocument {

	/** The media type of a problem document. */
	static final String MEDIA_TYPE = "application/problem+json";

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final Map<Integer, Problem.Code> CODES_BY_STATUS = Map.of(404, Problem.Code.NO_ROUTE, 405,
			Problem.Code.METHOD_NOT_ALLOWED, 408, Problem.Code.REQUEST_TIMEOUT, 413, Problem.Code.TOO_LARGE, 431,
			Problem.Code.HEADERS_TOO_LARGE);

	private static final int SERVER_ERROR = 500;

	private ProblemDocument() {
	}

	static byte[] encode(Problem problem) {
		return encode(problem, problem.code().status());
	}

	/**
	 * Encodes a refusal by the HTTP server itself, whose status may have no problem code,
	 * such as 505.
	 * @param problem the refusal
	 * @param status the HTTP status sent
	 * @return the problem document as JSON
	 */
	static byte[] encode(Problem problem, int status) {
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("type", "urn:plantainspur:problem:" + problem.code().label());
		fields.put("title", problem.code().label().replace('-', ' '));
		fields.put("status", status);
		fields.put("detail", problem.detail());
		fields.put("code", problem.code().label());
		fields.put("run", problem.run().label());
		try {
			return MAPPER.writeValueAsBytes(fields);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a problem document of strings and numbers failed to encode as JSON", ex);
		}
	}

	/**
	 * Returns the problem for a status that the HTTP server chose. For a status of 500 or
	 * above it is unknown whether the request has run, since the error may have happened
	 * after the dispatch.
	 * @param status the HTTP status
	 * @return the problem to send with the status
	 */
	static Problem ofStatus(int status) {
		if (status >= SERVER_ERROR) {
			return Problem.unknown(Problem.Code.INTERNAL_ERROR, "an internal error ended the request");
		}
		Problem.Code code = CODES_BY_STATUS.getOrDefault(status, Problem.Code.BAD_REQUEST);
		return Problem.notRun(code, "the request was refused before it was read completely");
	}

}
