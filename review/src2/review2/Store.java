package review2;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's table store as PROTOCOL.md describes it: rows in tables, whole reads, a
 * feed that waits for changes, and writes. Keeps all history. All answers name the era.
 */
final class Store {

	private static final Pattern WRITE = Pattern.compile(
			"\"table\":\"([^\"]*)\",\"part\":\"[^\"]*\",\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\"");

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private final HttpServer server;

	private final long startNanos = System.nanoTime();

	private long version = 1;

	private long era = 1;

	private boolean away;

	Store() throws IOException {
		this.server = new HttpServer(0, this::handle);
	}

	int port() {
		return this.server.port();
	}

	synchronized long put(String table, String key, String json) {
		write(table, key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), false);
		return this.version;
	}

	synchronized void remove(String table, String key) {
		if (this.rows.containsKey(table + "\0" + key)) {
			write(table, key, "", true);
		}
	}

	/** While the store is away, every call is answered with 503. */
	synchronized void setAway(boolean isAway) {
		this.away = isAway;
		notifyAll();
	}

	synchronized Copy copy() {
		return new Copy(Map.copyOf(this.rows), this.version);
	}

	/** Comes back from a copy: what was written since is gone, and its versions are given out again. */
	synchronized void restore(Copy copy) {
		this.rows.clear();
		this.rows.putAll(copy.rows());
		this.version = copy.version();
		this.era++;
		notifyAll();
	}

	private void write(String table, String key, String value, boolean removed) {
		this.version++;
		this.rows.put(table + "\0" + key, new Row(table, key, value, this.version, removed));
		notifyAll();
	}

	private HttpServer.Reply handle(HttpServer.Request request) throws IOException {
		HttpServer.Reply reply = reply(request);
		synchronized (this) {
			reply.headers().put("Store-Era", String.valueOf(this.era));
		}
		return reply;
	}

	private synchronized HttpServer.Reply reply(HttpServer.Request request) {
		if (this.away) {
			return HttpServer.Reply.of(503, "");
		}
		String table = request.query("table");
		return switch (request.path()) {
			case "/rows-get" -> {
				String from = request.query("from");
				yield rowsReply((row) -> row.table().equals(table) && !row.removed() && row.key().compareTo(from) >= 0,
						Comparator.comparing(Row::key));
			}
			case "/rows-feed" -> feed(table, Long.parseLong(request.query("after")),
					Long.parseLong("0" + request.query("waitMs")));
			case "/rows-tx" -> {
				Matcher matcher = WRITE.matcher(request.bodyText());
				while (matcher.find()) {
					write(matcher.group(1), matcher.group(2), matcher.group(3), false);
				}
				yield rowsReply((row) -> false, Comparator.comparing(Row::key));
			}
			default -> HttpServer.Reply.of(404, "");
		};
	}

	private HttpServer.Reply feed(String table, long after, long waitMs) {
		long endNanos = System.nanoTime() + waitMs * 1_000_000;
		long feedEra = this.era;
		while (true) {
			if (this.away) {
				return HttpServer.Reply.of(503, "");
			}
			if (after > this.version) {
				return HttpServer.Reply.of(410, "");
			}
			Predicate<Row> changed = (row) -> row.table().equals(table) && row.version() > after;
			long leftMs = (endNanos - System.nanoTime()) / 1_000_000;
			if (leftMs <= 0 || this.era != feedEra || this.rows.values().stream().anyMatch(changed)) {
				return rowsReply(changed, Comparator.comparingLong(Row::version));
			}
			try {
				wait(leftMs);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return HttpServer.Reply.of(503, "");
			}
		}
	}

	private HttpServer.Reply rowsReply(Predicate<Row> wanted, Comparator<Row> order) {
		StringBuilder json = new StringBuilder("{\"rows\":[");
		List<Row> found = this.rows.values().stream().filter(wanted).sorted(order).toList();
		for (Row row : found) {
			json.append(json.charAt(json.length() - 1) == '[' ? "" : ",")
				.append("{\"table\":\"")
				.append(row.table())
				.append("\",\"part\":\"\",\"key\":\"")
				.append(row.key())
				.append("\",\"objectVersion\":")
				.append(row.version())
				.append(row.removed() ? ",\"removed\":true}" : ",\"value\":\"" + row.value() + "\"}");
		}
		json.append("],\"truncated\":false,\"objectVersion\":")
			.append(this.version)
			.append(",\"nowMs\":")
			.append((System.nanoTime() - this.startNanos) / 1_000_000)
			.append('}');
		HttpServer.Reply reply = HttpServer.Reply.of(200, json.toString());
		reply.headers().put("Content-Type", "application/json");
		return reply;
	}

	record Copy(Map<String, Row> rows, long version) {
	}

	record Row(String table, String key, String value, long version, boolean removed) {
	}

}
