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

import org.plantainspur.standins.http.Exchange;
import org.plantainspur.standins.http.JsonBody;
import org.plantainspur.standins.http.Response;
import org.plantainspur.standins.http.StandInServer;

/**
 * The users' table store on loopback. Tests write the operators' and the targets' rows
 * with {@link #put} and {@link #remove}, and bring about its failures.
 */
public final class TableStoreStandIn implements AutoCloseable {

	private static final int UNAVAILABLE = 503;

	private static final int GONE = 410;

	private static final int CONFLICT = 412;

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private final Map<String, AtomicInteger> calls = new ConcurrentHashMap<>();

	private final StandInServer server;

	private long version = 1;

	private long historyFrom;

	private boolean down;

	private boolean silent;

	/**
	 * Starts a store.
	 * @throws IOException if there is no free port
	 */
	public TableStoreStandIn() throws IOException {
		this.server = new StandInServer("127.0.0.1", 0, this::handle);
	}

	/**
	 * Returns the store's port.
	 * @return the port
	 */
	public int port() {
		return this.server.port();
	}

	/**
	 * Writes a row.
	 * @param table the table
	 * @param key the key
	 * @param value the content
	 */
	public synchronized void put(String table, String key, String value) {
		write(table, key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), false);
	}

	/**
	 * Removes a row.
	 * @param table the table
	 * @param key the key
	 */
	public synchronized void remove(String table, String key) {
		write(table, key, "", true);
	}

	/**
	 * Answers 503 to all calls, or serves again.
	 * @param unavailable whether to refuse
	 */
	public synchronized void down(boolean unavailable) {
		this.down = unavailable;
		notifyAll();
	}

	/**
	 * Holds changes back from those who wait for them, and drops the history when it
	 * ends.
	 * @param quiet whether the feed is silent
	 */
	public synchronized void silentFeed(boolean quiet) {
		this.silent = quiet;
		if (!quiet) {
			this.historyFrom = this.version;
		}
		notifyAll();
	}

	/**
	 * Returns how often a call was made.
	 * @param path the path of the call
	 * @return the number
	 */
	public int calls(String path) {
		return this.calls.computeIfAbsent(path, (key) -> new AtomicInteger()).get();
	}

	private void write(String table, String key, String value, boolean removed) {
		this.version++;
		this.rows.put(table + "\0" + key, new Row(table, key, value, this.version, removed));
		notifyAll();
	}

	private void handle(Exchange exchange) throws IOException {
		String path = exchange.request().path();
		this.calls.computeIfAbsent(path, (key) -> new AtomicInteger()).incrementAndGet();
		exchange.answer(answer(exchange, path));
	}

	private synchronized Response answer(Exchange exchange, String path) {
		if (this.down) {
			return Response.error(UNAVAILABLE, "the store is down");
		}
		return switch (path) {
			case "/rows-get" -> read(exchange.request().query());
			case "/rows-feed" -> changes(exchange.request().query());
			case "/rows-tx" -> transact(JsonBody.object(exchange.request()));
			default -> Response.error(Response.NOT_FOUND, "no such call: " + path);
		};
	}

	private Response read(Map<String, String> query) {
		String table = query.getOrDefault("table", "");
		String from = query.getOrDefault("from", "");
		List<Row> found = this.rows.tailMap(table + "\0" + from)
			.values()
			.stream()
			.filter((row) -> row.table().equals(table) && !row.removed())
			.toList();
		return page(found);
	}

	private Response changes(Map<String, String> query) {
		String table = query.getOrDefault("table", "");
		long after = Long.parseLong(query.getOrDefault("after", "0"));
		long end = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
		while (true) {
			if (this.down) {
				return Response.error(UNAVAILABLE, "the store is down");
			}
			if (after < this.historyFrom) {
				return Response.error(GONE, "the history begins at " + this.historyFrom);
			}
			List<Row> found = this.silent ? List.of()
					: this.rows.values()
						.stream()
						.filter((row) -> row.table().equals(table) && row.version() > after)
						.sorted((left, right) -> Long.compare(left.version(), right.version()))
						.toList();
			long left = (end - System.nanoTime()) / 1_000_000;
			if (!found.isEmpty() || left <= 0) {
				return this.silent ? pageAt(found, after) : page(found);
			}
			pause(left);
		}
	}

	private void pause(long milliseconds) {
		try {
			wait(milliseconds);
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
				return Response.error(CONFLICT, "a row has another version");
			}
		}
		for (JsonNode row : body.path("writes")) {
			write(row.path("table").asText(), row.path("key").asText(), row.path("value").asText(), false);
		}
		for (JsonNode row : body.path("remove")) {
			write(row.path("table").asText(), row.path("key").asText(), "", true);
		}
		return page(List.of());
	}

	private Response page(List<Row> found) {
		return pageAt(found, this.version);
	}

	private static Response pageAt(List<Row> found, long pageVersion) {
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
				Map.of("rows", encoded, "truncated", false, "objectVersion", pageVersion, "nowMs", 0));
	}

	@Override
	public void close() {
		this.server.close();
	}

	private record Row(String table, String key, String value, long version, boolean removed) {
	}

}
