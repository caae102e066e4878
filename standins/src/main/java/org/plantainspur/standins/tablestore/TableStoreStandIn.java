package org.plantainspur.standins.tablestore;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;

import org.plantainspur.standins.http.JsonBody;
import org.plantainspur.standins.http.Response;
import org.plantainspur.standins.http.ServerExchange;
import org.plantainspur.standins.http.StandInServer;

/**
 * Serves the users' table store on the loopback network from memory. Tests write the rows
 * of operators and targets with {@link #put} and {@link #remove}, and cause outages with
 * {@link #setUnavailable} and {@link #setFeedSilent}, and losses of acknowledged rows
 * with {@link #restore}.
 */
public final class TableStoreStandIn implements AutoCloseable {

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int GONE = 410;

	private static final int PRECONDITION_FAILED = 412;

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private final Map<String, AtomicInteger> callCounts = new ConcurrentHashMap<>();

	private final StandInServer server;

	private long version = 1;

	private long oldestRetainedVersion;

	private boolean unavailable;

	private boolean feedSilent;

	private long era = 1;

	/**
	 * Starts an empty store on a free port of 127.0.0.1.
	 * @throws IOException if there is no free port to listen on
	 */
	public TableStoreStandIn() throws IOException {
		this.server = new StandInServer("127.0.0.1", 0, this::handle);
	}

	/**
	 * Returns the port on which the store listens.
	 * @return the TCP port
	 */
	public int port() {
		return this.server.port();
	}

	/**
	 * Writes a row with a new version.
	 * @param table the name of the table
	 * @param key the key of the row in its table
	 * @param value the content, stored as Base64 of its UTF-8 bytes
	 */
	public synchronized void put(String table, String key, String value) {
		write(table, key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), false);
	}

	/**
	 * Removes a row; the feed reports the removal as a new version.
	 * @param table the name of the table
	 * @param key the key of the row in its table
	 */
	public synchronized void remove(String table, String key) {
		write(table, key, "", true);
	}

	/**
	 * Starts or ends an outage, in which every call is answered with status 503.
	 * @param unavailable {@code true} to start the outage, {@code false} to end it
	 */
	public synchronized void setUnavailable(boolean unavailable) {
		this.unavailable = unavailable;
		notifyAll();
	}

	/**
	 * Starts or ends a fault in which the feed holds back all changes. When the fault
	 * ends, the history up to then is dropped, so that readers behind it get status 410.
	 * @param silent {@code true} to start the fault, {@code false} to end it
	 */
	public synchronized void setFeedSilent(boolean silent) {
		this.feedSilent = silent;
		if (!silent) {
			this.oldestRetainedVersion = this.version;
		}
		notifyAll();
	}

	/**
	 * Copies all rows.
	 * @return the copy, for {@link #restore}
	 */
	public synchronized Copy copy() {
		return new Copy(Map.copyOf(this.rows), this.version);
	}

	/**
	 * Replaces all rows by those of a copy and begins a new era. Versions that were given
	 * out since the copy are given out again.
	 * @param copy the copy
	 */
	public synchronized void restore(Copy copy) {
		this.rows.clear();
		this.rows.putAll(copy.rows);
		this.version = copy.version;
		this.oldestRetainedVersion = Math.min(this.oldestRetainedVersion, this.version);
		this.era++;
		notifyAll();
	}

	/**
	 * Returns the keys of a table's rows.
	 * @param table the name of the table
	 * @return the keys in ascending order, without those of removed rows
	 */
	public synchronized List<String> keys(String table) {
		return this.rows.values()
			.stream()
			.filter((row) -> row.table().equals(table) && !row.removed())
			.map(Row::key)
			.toList();
	}

	/**
	 * Returns how often a path was requested.
	 * @param path the path without the query
	 * @return the number of requests since the start
	 */
	public int callCount(String path) {
		return this.callCounts.computeIfAbsent(path, (key) -> new AtomicInteger()).get();
	}

	private void write(String table, String key, String value, boolean removed) {
		this.version++;
		this.rows.put(table + "\0" + key, new Row(table, key, value, this.version, removed));
		notifyAll();
	}

	private void handle(ServerExchange exchange) throws IOException {
		String path = exchange.request().path();
		this.callCounts.computeIfAbsent(path, (key) -> new AtomicInteger()).incrementAndGet();
		exchange.respond(responseOfEra(exchange, path));
	}

	private synchronized Response responseOfEra(ServerExchange exchange, String path) {
		Response response = response(exchange, path);
		return response.withHeader("Store-Era", String.valueOf(this.era));
	}

	private Response response(ServerExchange exchange, String path) {
		if (this.unavailable) {
			return Response.error(SERVICE_UNAVAILABLE, "the table store stand-in is set unavailable");
		}
		return switch (path) {
			case "/rows-get" -> readRows(exchange.request().query());
			case "/rows-feed" -> readChanges(exchange.request().query());
			case "/rows-tx" -> transact(JsonBody.readObject(exchange.request()));
			default -> Response.error(Response.NOT_FOUND, "there is no path " + path);
		};
	}

	private Response readRows(Map<String, String> query) {
		String table = query.getOrDefault("table", "");
		String from = query.getOrDefault("from", "");
		List<Row> found = this.rows.tailMap(table + "\0" + from)
			.values()
			.stream()
			.filter((row) -> row.table().equals(table) && !row.removed())
			.toList();
		return rowsResponse(found);
	}

	private Response readChanges(Map<String, String> query) {
		String table = query.getOrDefault("table", "");
		long after = Long.parseLong(query.getOrDefault("after", "0"));
		long endNanos = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
		while (true) {
			if (this.unavailable) {
				return Response.error(SERVICE_UNAVAILABLE, "the table store stand-in is set unavailable");
			}
			if (after < this.oldestRetainedVersion || after > this.version) {
				return Response.error(GONE, "the retained history is of the versions " + this.oldestRetainedVersion
						+ " to " + this.version);
			}
			List<Row> found = this.feedSilent ? List.of()
					: this.rows.values()
						.stream()
						.filter((row) -> row.table().equals(table) && row.version() > after)
						.sorted((first, second) -> Long.compare(first.version(), second.version()))
						.toList();
			long remainingMillis = (endNanos - System.nanoTime()) / 1_000_000;
			if (!found.isEmpty() || remainingMillis <= 0) {
				// A silent feed reports the version that the reader already has, so that
				// the reader does not skip the changes that are held back.
				return this.feedSilent ? rowsResponseAt(found, after) : rowsResponse(found);
			}
			awaitChange(remainingMillis);
		}
	}

	private void awaitChange(long millis) {
		try {
			wait(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private Response transact(JsonNode body) {
		for (JsonNode expected : body.path("expected")) {
			Row present = this.rows.get(expected.path("table").asText() + "\0" + expected.path("key").asText());
			long presentVersion = (present == null || present.removed()) ? 0 : present.version();
			if (presentVersion != expected.path("objectVersion").asLong()) {
				return Response.error(PRECONDITION_FAILED, "row " + expected.path("key").asText() + " has version "
						+ presentVersion + ", not " + expected.path("objectVersion").asLong());
			}
		}
		for (JsonNode row : body.path("writes")) {
			write(row.path("table").asText(), row.path("key").asText(), row.path("value").asText(), false);
		}
		for (JsonNode row : body.path("remove")) {
			write(row.path("table").asText(), row.path("key").asText(), "", true);
		}
		return rowsResponse(List.of());
	}

	private Response rowsResponse(List<Row> found) {
		return rowsResponseAt(found, this.version);
	}

	private static Response rowsResponseAt(List<Row> found, long responseVersion) {
		List<Map<String, Object>> encoded = new ArrayList<>();
		for (Row row : found) {
			Map<String, Object> fields = new LinkedHashMap<>();
			fields.put("table", row.table());
			fields.put("part", "");
			fields.put("key", row.key());
			fields.put("objectVersion", row.version());
			if (row.removed()) {
				fields.put("removed", true);
			}
			else {
				fields.put("value", row.value());
			}
			encoded.add(fields);
		}
		return Response.json(Response.OK,
				Map.of("rows", encoded, "truncated", false, "objectVersion", responseVersion, "nowMs", 0));
	}

	@Override
	public void close() {
		this.server.close();
	}

	/**
	 * A copy of all rows at one moment.
	 */
	public static final class Copy {

		private final Map<String, Row> rows;

		private final long version;

		private Copy(Map<String, Row> rows, long version) {
			this.rows = rows;
			this.version = version;
		}

	}

	private record Row(String table, String key, String value, long version, boolean removed) {
	}

}
