package org.plantainspur.standins.platform;

import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.plantainspur.standins.http.BadRequestException;
import org.plantainspur.standins.http.JsonBody;
import org.plantainspur.standins.http.Request;
import org.plantainspur.standins.http.Response;

/**
 * Handles the HTTP requests to the table: reads of a row or a key range, and
 * transactions.
 */
final class TableHandlers {

	private static final int CONFLICT = 409;

	private static final String DEFAULT_ROW_LIMIT = "1000";

	private final Table table = new Table();

	Response row(Request request) {
		Table.Row row = this.table.row(request.query().getOrDefault("key", ""));
		return (row != null) ? Response.json(Response.OK, toJson(row))
				: Response.json(Response.NOT_FOUND, JsonNodeFactory.instance.objectNode());
	}

	Response rows(Request request) {
		Map<String, String> query = request.query();
		ObjectNode body = JsonNodeFactory.instance.objectNode();
		ArrayNode rows = body.putArray("rows");
		this.table
			.rows(query.getOrDefault("prefix", ""), query.getOrDefault("after", ""),
					limit(query.getOrDefault("limit", DEFAULT_ROW_LIMIT)))
			.forEach((row) -> rows.add(toJson(row)));
		return Response.json(Response.OK, body);
	}

	Response transact(Request request) {
		JsonNode body = JsonBody.readObject(request);
		Map<String, Long> conditions = new LinkedHashMap<>();
		for (JsonNode node : body.path("conditions")) {
			if (!node.path("version").canConvertToLong() || !node.path("version").isIntegralNumber()) {
				throw new BadRequestException("the condition " + node + " has no whole number as its version");
			}
			conditions.put(key(node), node.path("version").longValue());
		}
		Map<String, JsonNode> writes = new LinkedHashMap<>();
		for (JsonNode node : body.path("writes")) {
			if (!node.has("value")) {
				throw new BadRequestException("the write " + node + " has no value");
			}
			writes.put(key(node), node.path("value"));
		}
		if (writes.isEmpty()) {
			throw new BadRequestException("the transaction has no writes");
		}
		boolean written = this.table.transact(conditions, writes);
		return Response.json(written ? Response.OK : CONFLICT, JsonNodeFactory.instance.objectNode());
	}

	private static String key(JsonNode node) {
		String key = node.path("key").asText();
		if (key.isEmpty()) {
			throw new BadRequestException("the entry " + node + " has no key");
		}
		return key;
	}

	private static int limit(String text) {
		try {
			int limit = Integer.parseInt(text);
			if (limit > 0) {
				return limit;
			}
		}
		catch (NumberFormatException ex) {
			// The exception below reports it, as it does a number out of bounds.
		}
		throw new BadRequestException("the limit '" + text + "' is not a positive number; write one such as 500");
	}

	private static ObjectNode toJson(Table.Row row) {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		node.put("key", row.key()).put("version", row.version()).set("value", row.value());
		return node;
	}

}
