package org.plantainspur.standins.target;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Emulates one target with a fixed number of slots. {@code GET /.emulator/runs} gives the
 * number of runs of each non-idempotent request by its identity.
 */
public final class TargetEmulator implements AutoCloseable {

	private static final int OK = 200;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int THREADS = 64;

	private final ObjectMapper mapper = new ObjectMapper();

	private final String id;

	private final Semaphore slots;

	private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

	private final ExecutorService executor = Executors.newFixedThreadPool(THREADS);

	private final HttpServer server;

	/**
	 * Starts the emulator.
	 * @param id the target's name
	 * @param port the port on 127.0.0.1, 0 for any free one
	 * @param slots requests that it runs at a time
	 * @throws IOException if the port cannot be used
	 */
	public TargetEmulator(String id, int port, int slots) throws IOException {
		this.id = id;
		this.slots = new Semaphore(slots);
		this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 0);
		this.server.setExecutor(this.executor);
		this.server.createContext("/", this::run);
		this.server.createContext("/.emulator/runs", this::runs);
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
	 * Runs the emulator as a process.
	 * @param args the target's name, the port and the number of slots
	 * @throws IOException if the port cannot be used
	 */
	public static void main(String[] args) throws IOException {
		TargetEmulator target = new TargetEmulator(args[0], Integer.parseInt(args[1]), Integer.parseInt(args[2]));
		System.out.println("target " + args[0] + " listens on 127.0.0.1:" + target.port());
	}

	private void run(HttpExchange exchange) throws IOException {
		byte[] body = exchange.getRequestBody().readAllBytes();
		if (!this.slots.tryAcquire()) {
			exchange.getResponseHeaders().set("X-Not-Run", "true");
			answer(exchange, SERVICE_UNAVAILABLE, new byte[0]);
			return;
		}
		try {
			String identity = exchange.getRequestHeaders().getFirst("Idempotency-Key");
			if (identity != null) {
				this.runs.computeIfAbsent(identity, (key) -> new AtomicInteger()).incrementAndGet();
			}
			String account = exchange.getRequestHeaders().getFirst("X-Client-Account");
			String text = this.id + " ran " + exchange.getRequestMethod() + " " + exchange.getRequestURI() + " for "
					+ account + ", body of " + body.length + " bytes, key "
					+ (exchange.getRequestHeaders().containsKey("X-Api-Key") ? "seen" : "not seen") + "\n";
			answer(exchange, OK, text.getBytes(StandardCharsets.UTF_8));
		}
		finally {
			this.slots.release();
		}
	}

	private void runs(HttpExchange exchange) throws IOException {
		answer(exchange, OK, this.mapper.writeValueAsBytes(this.runs));
	}

	private static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
		exchange.sendResponseHeaders(status, (body.length > 0) ? body.length : -1);
		exchange.getResponseBody().write(body);
		exchange.close();
	}

}
