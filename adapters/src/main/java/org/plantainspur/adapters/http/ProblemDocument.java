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

	private static final Map<Integer, Problem.Code> CODES = Map.of(404, Problem.Code.NO_ROUTE, 405,
			Problem.Code.METHOD_NOT_ALLOWED, 408, Problem.Code.REQUEST_TIMEOUT, 413, Problem.Code.TOO_LARGE, 431,
			Problem.Code.HEADERS_TOO_LARGE);

	private static final int SERVER_ERROR = 500;

	private ProblemDocument() {
	}

	static byte[] encode(Problem problem) {
		return encode(problem, problem.code().status());
	}

	/**
	 * Encodes a refusal by the server itself, which may have a status without a code of
	 * its own, such as 505.
	 * @param problem the refusal
	 * @param status the HTTP status sent
	 * @return the document
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
			throw new IllegalStateException("a problem document of texts and numbers can always be written", ex);
		}
	}

	/**
	 * Returns the problem of a status that the HTTP server chose. A status of 500 or
	 * above may stem from an error after the request was dispatched.
	 * @param status the HTTP status
	 * @return the problem
	 */
	static Problem ofStatus(int status) {
		if (status >= SERVER_ERROR) {
			return Problem.unknown(Problem.Code.INTERNAL_ERROR, "an internal error ended the request");
		}
		Problem.Code code = CODES.getOrDefault(status, Problem.Code.BAD_REQUEST);
		return Problem.notRun(code, "the request was refused before it was read as a whole");
	}

}
