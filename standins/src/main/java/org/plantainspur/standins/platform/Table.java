package org.plantainspur.standins.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * A table of versioned rows in memory, with transactions.
 */
final class Table {

	private final TreeMap<String, Row> rows = new TreeMap<>();

	synchronized @Nullable Row row(String key) {
		return this.rows.get(key);
	}

	/**
	 * Returns a page of rows in the order of their keys.
	 * @param prefix the prefix of the keys of the rows
	 * @param after the last key of the previous page, empty for the first page
	 * @param limit the maximum number of rows
	 * @return the rows, empty if none follows
	 */
	synchronized List<Row> rows(String prefix, String after, int limit) {
		List<Row> found = new ArrayList<>();
		for (Row row : this.rows.tailMap(prefix, true).values()) {
			if (!row.key().startsWith(prefix) || found.size() >= limit) {
				break;
			}
			if (row.key().compareTo(after) > 0) {
				found.add(row);
			}
		}
		return found;
	}

	/**
	 * Writes all rows if every condition holds, else none.
	 * @param expectedVersions the version that each row must have, by key; 0 for a row
	 * that must not exist
	 * @param writes the new values by key
	 * @return {@code true} if the rows were written
	 */
	synchronized boolean transact(Map<String, Long> expectedVersions, Map<String, JsonNode> writes) {
		boolean conditionsHold = expectedVersions.entrySet()
			.stream()
			.allMatch((condition) -> version(condition.getKey()) == condition.getValue());
		if (conditionsHold) {
			writes.forEach((key, value) -> this.rows.put(key, new Row(key, version(key) + 1, value)));
		}
		return conditionsHold;
	}

	private long version(String key) {
		Row row = this.rows.get(key);
		return (row != null) ? row.version() : 0;
	}

	record Row(String key, long version, JsonNode value) {
	}

}
