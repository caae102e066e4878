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

	private ProblemDocument() {
	}

	static byte[] encode(Problem problem) {
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("type", "urn:plantainspur:problem:" + problem.code().label());
		fields.put("title", problem.code().label().replace('-', ' '));
		fields.put("status", problem.code().status());
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

}
