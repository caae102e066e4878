package org.plantainspur.standins.http;

import java.io.IOException;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Converts between JSON and objects. Reading rejects unknown fields and trailing text, so
 * that a misspelt field in a test fails instead of being ignored.
 */
public final class JsonBody {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
		.disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
		.visibility(PropertyAccessor.FIELD, JsonAutoDetect.Visibility.ANY)
		.build();

	private JsonBody() {
	}

	/**
	 * Reads the body of a request as an object of a class.
	 * @param request the request with a JSON body
	 * @param type the class whose fields the JSON fields fill
	 * @param <T> the class of the result
	 * @return a new object with the values of the body
	 * @throws BadRequestException if the body is not valid JSON or does not match the
	 * class
	 */
	public static <T> T read(Request request, Class<T> type) {
		try {
			T value = MAPPER.readValue(request.body(), type);
			if (value != null) {
				return value;
			}
			throw new BadRequestException("the body is null; send a JSON object");
		}
		catch (JsonProcessingException ex) {
			throw new BadRequestException("the body is not valid: " + ex.getOriginalMessage() + " ("
					+ ex.getLocation().offsetDescription() + ")");
		}
		catch (IOException ex) {
			throw new BadRequestException("the body cannot be read: " + ex.getMessage());
		}
	}

	/**
	 * Reads the body of a request as a JSON object of any shape.
	 * @param request the request with a JSON body
	 * @return the JSON object
	 * @throws BadRequestException if the body is not a JSON object
	 */
	public static JsonNode readObject(Request request) {
		JsonNode node = read(request, JsonNode.class);
		if (!node.isObject()) {
			throw new BadRequestException("the body is not a JSON object");
		}
		return node;
	}

	/**
	 * Converts an object to JSON with all its fields, also private ones.
	 * @param value the object to convert
	 * @return the JSON tree
	 */
	public static JsonNode toTree(Object value) {
		return MAPPER.valueToTree(value);
	}

}
