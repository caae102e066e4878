package org.plantainspur.operator;

import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The outcome of a command: the fields that it prints, in the order in which they were
 * added, and its exit code.
 */
final class Report {

	static final int DONE = 0;

	/** Nothing was written, or a query got no answer. */
	static final int FAILED = 1;

	static final int BAD_INPUT = 2;

	/** Another operator changed the same entity first; nothing was written. */
	static final int CONFLICT = 3;

	/** The change may have been written, or was written but is not yet accepted. */
	static final int UNKNOWN = 4;

	private final int exitCode;

	private final Map<String, Object> fields = new LinkedHashMap<>();

	Report(int exitCode) {
		this.exitCode = exitCode;
	}

	Report with(String name, Object value) {
		this.fields.put(name, value);
		return this;
	}

	int exitCode() {
		return this.exitCode;
	}

	Map<String, Object> fields() {
		return this.fields;
	}

	String json() {
		try {
			return new ObjectMapper().writeValueAsString(this.fields);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot write the report as JSON: " + this.fields.keySet(), ex);
		}
	}

	String text() {
		StringBuilder text = new StringBuilder();
		this.fields.forEach((name, value) -> {
			if (value instanceof ObjectNode node) {
				text.append(name).append(":\n");
				node.fields()
					.forEachRemaining((field) -> text.append("  ")
						.append(field.getKey())
						.append(": ")
						.append(field.getValue().isTextual() ? field.getValue().asText() : field.getValue())
						.append('\n'));
			}
			else if (value instanceof Iterable<?> items) {
				text.append(name).append(":\n");
				items.forEach((item) -> text.append("  ").append(item).append('\n'));
			}
			else {
				text.append(name).append(": ").append(value).append('\n');
			}
		});
		return text.toString();
	}

}
