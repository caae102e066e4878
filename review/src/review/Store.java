package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * The platform's table store: rows-get, rows-feed and rows-tx with unconditional writes,
 * which is all that the program uses.
 */
final class Store {

	private static final Pattern WRITE = Pattern.compile(
			"\\{\"table\":\"([^\"]*)\",\"part\":\"\",\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\"\\}");

	/** The most rows in one response of rows-get. */
	private static final int PAGE_ROWS = 500;

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private final HttpServer server;

	private long version = 100;

	/** How many calls have waited for changes of a table. */
	private final Map<String, Integer> feedCalls = new HashMap<>();

	/** The history up to this version is no longer available. */
	private long droppedVersion;

	Store() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "store");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	int port() {
		return this.server.getAddress().getPort();
	}

	synchronized void put(String table, String key, String value) {
		write(table, key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), false);
	}

	/** Waits until a host begins to wait for changes of a table. */
	synchronized void awaitFeedCall(String table) throws InterruptedException {
		int before = this.feedCalls.getOrDefault(table, 0);
		while (this.feedCalls.getOrDefault(table, 0) == before) {
			wait(3_000);
		}
	}

	/** Discards the history of all changes up to now. */
	synchronized void dropHistory() {
		this.droppedVersion = this.version;
	}

	synchronized void remove(String table, String key) {
		write(table, key, "", true);
	}

	private void write(String table, String key, String base64, boolean removed) {
		this.version++;
		this.rows.put(table + "\0" + key, new Row(table, key, base64, this.version, removed));
		notifyAll();
	}

	private void handle(HttpExchange exchange) throws IOException {
		byte[] request = exchange.getRequestBody().readAllBytes();
		Map<String, String> query = new HashMap<>();
		String raw = exchange.getRequestURI().getRawQuery();
		for (String parameter : ((raw != null) ? raw : "").split("&")) {
			String[] nameAndValue = parameter.split("=", 2);
			if (nameAndValue.length == 2) {
				query.put(nameAndValue[0], URLDecoder.decode(nameAndValue[1], StandardCharsets.UTF_8));
			}
		}
		String body = switch (exchange.getRequestURI().getPath()) {
			case "/rows-get" -> get(query);
			case "/rows-feed" -> feed(query);
			case "/rows-tx" -> transact(new String(request, StandardCharsets.UTF_8));
			default -> "";
		};
		byte[] response = body.getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(body.isEmpty() ? 410 : 200, body.isEmpty() ? -1 : response.length);
		if (response.length > 0) {
			exchange.getResponseBody().write(response);
		}
		exchange.close();
	}

	private synchronized String get(Map<String, String> query) {
		List<Row> found = new ArrayList<>();
		for (Row row : this.rows.tailMap(query.get("table") + "\0" + query.getOrDefault("from", "")).values()) {
			if (row.table().equals(query.get("table")) && !row.removed()) {
				found.add(row);
			}
		}
		boolean truncated = found.size() > PAGE_ROWS;
		return response(truncated ? found.subList(0, PAGE_ROWS) : found, truncated);
	}

	private synchronized String feed(Map<String, String> query) {
		this.feedCalls.merge(query.get("table"), 1, Integer::sum);
		notifyAll();
		long after = Long.parseLong(query.get("after"));
		if (after < this.droppedVersion) {
			return "";
		}
		long endMs = Kit.nowMs() + Long.parseLong(query.getOrDefault("waitMs", "0"));
		while (true) {
			List<Row> found = new ArrayList<>();
			for (Row row : this.rows.values()) {
				if (row.table().equals(query.get("table")) && row.version() > after) {
					found.add(row);
				}
			}
			found.sort(Comparator.comparingLong(Row::version));
			long leftMs = endMs - Kit.nowMs();
			if (!found.isEmpty() || leftMs <= 0) {
				return response(found, false);
			}
			try {
				wait(leftMs);
			}
			catch (InterruptedException ex) {
				return response(List.of(), false);
			}
		}
	}

	private synchronized String transact(String json) {
		Matcher matcher = WRITE.matcher(json);
		while (matcher.find()) {
			write(matcher.group(1), matcher.group(2), matcher.group(3), false);
		}
		return response(List.of(), false);
	}

	private String response(List<Row> found, boolean truncated) {
		StringBuilder json = new StringBuilder("{\"rows\":[");
		String separator = "";
		for (Row row : found) {
			json.append(separator)
				.append("{\"table\":\"" + row.table() + "\",\"part\":\"\",\"key\":\"" + row.key()
						+ "\",\"objectVersion\":" + row.version());
			json.append(row.removed() ? ",\"removed\":true}" : ",\"value\":\"" + row.value() + "\"}");
			separator = ",";
		}
		return json.append("],\"truncated\":" + truncated + ",\"objectVersion\":" + this.version + ",\"nowMs\":"
				+ Kit.nowMs() + "}").toString();
	}

	void close() {
		this.server.stop(0);
	}

	private record Row(String table, String key, String value, long version, boolean removed) {
	}

}
