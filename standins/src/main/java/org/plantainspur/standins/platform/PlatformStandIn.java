package org.plantainspur.standins.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Serves the platform's interface from memory. The host list is replaced by
 * {@code PUT /hosts}.
 */
public final class PlatformStandIn implements AutoCloseable {

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int CONFLICT = 409;

	private static final int THREADS = 16;

	private final ObjectMapper mapper = new ObjectMapper();

	private final Table table = new Table();

	private final AtomicReference<JsonNode> hosts;

	private final ExecutorService executor = Executors.newFixedThreadPool(THREADS);

	private final HttpServer server;

	/**
	 * Starts the stand-in.
	 * @param port the port on 127.0.0.1, 0 for any free one
	 * @throws IOException if the port cannot be used
	 */
	public PlatformStandIn(int port) throws IOException {
		ObjectNode empty = this.mapper.createObjectNode();
		empty.putArray("hosts");
		this.hosts = new AtomicReference<>(empty);
		this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 0);
		this.server.setExecutor(this.executor);
		this.server.createContext("/table/row", this::row);
		this.server.createContext("/table/rows", this::rows);
		this.server.createContext("/table/transact", this::transact);
		this.server.createContext("/hosts", this::hosts);
		this.server.start();
	}

	/**
	 * Returns the port.
	 * @return the port on 127.0.0.1
	 */
	public int port() {
		return this.server.getAddress().getPort();
	}

	@Override
	public void close() {
		this.server.stop(0);
		this.executor.shutdownNow();
	}

	/**
	 * Runs the stand-in as a process.
	 * @param args the port
	 * @throws IOException if the port cannot be used
	 */
	public static void main(String[] args) throws IOException {
		PlatformStandIn platform = new PlatformStandIn((args.length > 0) ? Integer.parseInt(args[0]) : 0);
		System.out.println("platform stand-in listens on 127.0.0.1:" + platform.port());
	}

	private void row(HttpExchange exchange) throws IOException {
		if (!exchange.getRequestURI().getPath().equals("/table/row")) {
			rows(exchange);
			return;
		}
		Table.Row row = this.table.row(query(exchange).getOrDefault("key", ""));
		if (row == null) {
			answer(exchange, NOT_FOUND, this.mapper.createObjectNode());
		}
		else {
			answer(exchange, OK, toJson(row));
		}
	}

	private void rows(HttpExchange exchange) throws IOException {
		Map<String, String> query = query(exchange);
		ObjectNode body = this.mapper.createObjectNode();
		var rows = body.putArray("rows");
		this.table
			.rows(query.getOrDefault("prefix", ""), query.getOrDefault("after", ""),
					Integer.parseInt(query.getOrDefault("limit", "1000")))
			.forEach((row) -> rows.add(toJson(row)));
		answer(exchange, OK, body);
	}

	private void transact(HttpExchange exchange) throws IOException {
		JsonNode request = read(exchange);
		Map<String, Long> conditions = new LinkedHashMap<>();
		request.path("conditions")
			.forEach((node) -> conditions.put(node.path("key").asText(), node.path("version").asLong()));
		Map<String, JsonNode> writes = new LinkedHashMap<>();
		request.path("writes").forEach((node) -> writes.put(node.path("key").asText(), node.path("value")));
		boolean written = this.table.transact(conditions, writes);
		answer(exchange, written ? OK : CONFLICT, this.mapper.createObjectNode());
	}

	private void hosts(HttpExchange exchange) throws IOException {
		if (exchange.getRequestMethod().equals("PUT")) {
			this.hosts.set(read(exchange));
		}
		answer(exchange, OK, this.hosts.get());
	}

	private ObjectNode toJson(Table.Row row) {
		ObjectNode node = this.mapper.createObjectNode();
		node.put("key", row.key()).put("version", row.version()).set("value", row.value());
		return node;
	}

	private JsonNode read(HttpExchange exchange) throws IOException {
		try (InputStream body = exchange.getRequestBody()) {
			return this.mapper.readTree(body);
		}
	}

	private void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
		byte[] bytes = this.mapper.writeValueAsBytes(body);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	private static Map<String, String> query(HttpExchange exchange) {
		Map<String, String> values = new LinkedHashMap<>();
		String query = exchange.getRequestURI().getRawQuery();
		if (query == null) {
			return values;
		}
		for (String pair : query.split("&")) {
			int equals = pair.indexOf('=');
			values.put(pair.substring(0, equals),
					URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
		}
		return values;
	}

}
