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
 * Reads JSON bodies strictly: unknown fields and trailing text are refused, so that a
 * misspelt setting of a test is not ignored.
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
	 * Reads the body of a request.
	 * @param request the request
	 * @param type the class to fill
	 * @param <T> the class to fill
	 * @return the object
	 * @throws BadRequestException if the body is not such an object
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
	 * Reads the body of a request as an object.
	 * @param request the request
	 * @return the tree
	 * @throws BadRequestException if the body is not a JSON object
	 */
	public static JsonNode object(Request request) {
		JsonNode node = read(request, JsonNode.class);
		if (!node.isObject()) {
			throw new BadRequestException("the body is not a JSON object");
		}
		return node;
	}

	/**
	 * Writes an object with all its fields.
	 * @param value the object
	 * @return the tree
	 */
	public static JsonNode write(Object value) {
		return MAPPER.valueToTree(value);
	}

}
