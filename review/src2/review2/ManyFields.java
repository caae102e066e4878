package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * All clients of a zone send a booking within a burst. Each has as many header bytes as
 * the desired state allows, in short fields, and its body arrives over some seconds.
 * Afterwards traffic is as usual, and requests must be answered.
 */
final class ManyFields {

	private static final String KEY = "ctnfzs989anu6wsjnban";

	private static final int DEADLINE_MS = 5_000;

	private static final int TIMEOUT_MS = 3_000;

	/** The answer to a request is missing when there is none this long after its route's timeout. */
	private static final int ANSWER_SLACK_MS = 500;

	/** 16,000 bytes of short header fields; the request line and the other fields take less than 384. */
	private static final String FIELDS = IntStream.range(0, 3_200)
		.mapToObj((i) -> (char) ('a' + i % 26) + ":1\r\n")
		.collect(Collectors.joining());

	private static final int CHUNKS = 12;

	private static final int CHUNK_BYTES = 100;

	private static final double BODY_MS = 2_400;

	/** The clients of the largest zone of cib-gateway-grown. */
	private static final int CLIENTS = 374;

	/** The clients begin over this time: 154 requests a second, the zone's usual, in a burst of x 1.7. */
	private static final long BURST_MS = 1_430;

	/** Without the disruption the clients begin over this time. */
	private static final long SPREAD_MS = 15_000;

	private static final double USUAL_PER_S = 20;

	private static final long CHECKED_MS = 30_000;

	private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	private final Record record;

	private final Map<String, AtomicInteger> burstAnswers = new ConcurrentHashMap<>();

	private final Map<String, AtomicInteger> answersBefore = new ConcurrentHashMap<>();

	private final Map<String, AtomicInteger> answersAfter = new ConcurrentHashMap<>();

	private final AtomicInteger checked = new AtomicInteger();

	private final AtomicInteger missing = new AtomicInteger();

	/** Requests without an answer at their route's timeout. */
	private final AtomicInteger lasted = new AtomicInteger();

	private volatile long checkFromMs = Long.MAX_VALUE;

	private volatile boolean ended;

	private ManyFields(Path folder) throws IOException {
		this.record = new Record(folder.resolve("record.txt"));
	}

	public static void main(String[] arguments) {
		int exit = 2;
		try {
			exit = new ManyFields(Path.of(arguments[0])).run();
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(exit);
	}

	private int run() throws Exception {
		Store store = new Store();
		store.put("op", "config",
				"""
						{"version":"00000007","routes":{"columns":["name","host","prefix","routeType","timeoutMs","targetLatencyMs","priority","trafficSplit","maxAttempts","public","service"],"rows":[["r-book","jepu9.example","/book/","non_idempotent",%d,800,1,null,2,false,"booking"]]},"services":{"columns":["name","healthPath","maxConnections","protocol","tls"],"rows":[["booking","/health",330,"h1",false]]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],"rows":[["sese880",["%s"],1,0,0]]},"baseVersion":"00000005"}"""
					.formatted(TIMEOUT_MS, KEY));
		for (int i = 0; i < 12; i++) {
			new Endpoint(store, "booking", "sea-b", 2, (endpoint, request, attempt) -> {
				this.record.line("run " + attempt + " at " + endpoint.id());
				return 160;
			});
		}
		try (Fleet fleet = new Fleet(Path.of("").toAbsolutePath(), store.port(), List.of("sea-b"))) {
			for (int i = 1; i <= 2; i++) {
				fleet.add("front-sea-b-" + i, "sea-b").start();
			}
			fleet.awaitReady(30_000);
			Thread.sleep(Fleet.CONTACT_MS + 1_000);
			List<Integer> ports = Client.resolve(fleet.machines().get(0).directoryPort(), "sea-b");
			this.record.say("clients connect to " + ports.size() + " machines");
			HttpServer.thread(() -> usual(ports));
			fleet.restartEnded(this.record);
			Thread.sleep(4_000);
			this.record.line("the clients begin; usual requests count from here");
			this.checkFromMs = this.record.nowMs();
			for (int i = 0; i < CLIENTS; i++) {
				int port = ports.get(ThreadLocalRandom.current().nextInt(ports.size()));
				long delayMs = i * (this.trouble ? BURST_MS : SPREAD_MS) / CLIENTS;
				HttpServer.thread(() -> burstRequest(port, delayMs));
			}
			Thread.sleep(CHECKED_MS);
			this.ended = true;
			Thread.sleep(DEADLINE_MS + 1_000);
			for (Fleet.Machine machine : fleet.machines()) {
				this.record.say(machine.name() + ": process " + (machine.process().isAlive() ? "runs" : "has ended")
						+ ", /ready answers " + Client.status(machine.readyPort(), "/ready"));
				Files.readAllLines(machine.log())
					.stream()
					.filter((line) -> line.contains("OutOfMemory"))
					.limit(5)
					.forEach((line) -> this.record.line(machine.name() + " wrote: " + line));
			}
		}
		return verdict();
	}

	private void burstRequest(int port, long delayMs) {
		String id = Client.newId();
		String result;
		try (Socket socket = new Socket()) {
			Thread.sleep(delayMs);
			long startNanos = System.nanoTime();
			socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
			socket.setTcpNoDelay(true);
			OutputStream out = socket.getOutputStream();
			out.write(("POST /book/burst HTTP/1.1\r\nHost: jepu9.example\r\nX-Plantainspur-Attempt-Id: " + id
					+ "\r\nX-Plantainspur-Deadline-Ms: " + DEADLINE_MS + "\r\nAuthorization: Bearer " + KEY
					+ "\r\nTransfer-Encoding: chunked\r\n" + FIELDS + "\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			byte[] chunk = ("%x\r\n%s\r\n".formatted(CHUNK_BYTES, "x".repeat(CHUNK_BYTES)))
				.getBytes(StandardCharsets.ISO_8859_1);
			for (int i = 0; i < CHUNKS; i++) {
				out.write(chunk);
				long aheadMs = (long) (BODY_MS * i / CHUNKS) - (System.nanoTime() - startNanos) / 1_000_000;
				if (aheadMs > 0) {
					Thread.sleep(aheadMs);
				}
			}
			out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
			long leftMs = DEADLINE_MS - (System.nanoTime() - startNanos) / 1_000_000;
			socket.setSoTimeout((int) Math.max(1, leftMs));
			result = String.valueOf(Client.read(new BufferedInputStream(socket.getInputStream())).status());
		}
		catch (IOException | InterruptedException ex) {
			result = String.valueOf(ex.getMessage());
		}
		this.burstAnswers.computeIfAbsent(result, (key) -> new AtomicInteger()).incrementAndGet();
		this.record.line("burst " + id + " at port " + port + " answered " + result);
	}

	private void usual(List<Integer> ports) {
		long startMs = this.record.nowMs();
		int sent = 0;
		while (!this.ended) {
			while (sent < (this.record.nowMs() - startMs) * USUAL_PER_S / 1_000) {
				sent++;
				int port = ports.get(ThreadLocalRandom.current().nextInt(ports.size()));
				HttpServer.thread(() -> usualRequest(port));
			}
			try {
				Thread.sleep(5);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private void usualRequest(int port) {
		String id = Client.newId();
		long sentMs = this.record.nowMs();
		boolean counts = sentMs >= this.checkFromMs;
		Client.Answer answer = Client.send(port, "POST", "/book/usual", id, KEY, DEADLINE_MS, "x".repeat(1_200));
		long tookMs = this.record.nowMs() - sentMs;
		String result = (answer.status() > 0) ? String.valueOf(answer.status()) : answer.body();
		(counts ? this.answersAfter : this.answersBefore).computeIfAbsent(result, (key) -> new AtomicInteger())
			.incrementAndGet();
		if (counts) {
			// A channel that was closed or refused has ended, if without an answer.
			this.checked.incrementAndGet();
			this.lasted.addAndGet((tookMs >= TIMEOUT_MS) ? 1 : 0);
			this.missing.addAndGet((tookMs >= TIMEOUT_MS + ANSWER_SLACK_MS) ? 1 : 0);
		}
		this.record.line("usual " + id + " at port " + port + " answered " + result + " after " + tookMs + " ms");
	}

	private int verdict() {
		this.record.say("answers to the burst: " + this.burstAnswers);
		this.record.say("answers to usual requests before: " + this.answersBefore + ", after: " + this.answersAfter);
		this.record.say("usual requests since the burst began: " + this.checked.get() + ", without an end at timeoutMs: "
				+ this.lasted.get() + ", of these without an end 0.5 s later: " + this.missing.get());
		if (this.checked.get() == 0) {
			return 2;
		}
		// "Eight or more of them, and over a quarter, have no final answer [...] 0.5 s after it."
		boolean broken = this.missing.get() >= 8 && this.missing.get() * 4 > this.lasted.get();
		this.record.say(broken ? "CONFIG broken" : "CONFIG held");
		this.record.close();
		return broken ? 1 : 0;
	}

}
