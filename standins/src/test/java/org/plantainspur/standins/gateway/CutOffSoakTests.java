package org.plantainspur.standins.gateway;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.standins.http.ServerExchange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that run twice, refusals of requests that have run, and callers
 * that are not served, while hosts are cut off from targets in series, beside stops,
 * restarts and changes. Callers keep using their connections until these end. The system
 * properties {@code soak.seed}, {@code soak.seconds} and {@code soak.hosts} set the run,
 * {@code soak.seeds} the number of runs with one seed after another.
 */
class CutOffSoakTests extends AbstractGatewayTests {

	private static final String REGIONS = "zones.a=r\nzones.b=r";

	private static final int CALLERS_PER_HOST = 3;

	/** The share of requests that must be served at hosts that are cut off by turns. */
	private static final double SERVED_SHARE = 0.9;

	/** The share that must be served at the host that is not disturbed. */
	private static final double UNDISTURBED_SHARE = 0.98;

	private final int seeds = Integer.getInteger("soak.seeds", 1);

	private long seed = Long.getLong("soak.seed", 1);

	private final int seconds = Integer.getInteger("soak.seconds", 20);

	private final int hostCount = Integer.getInteger("soak.hosts", 4);

	private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

	private final Queue<Result> results = new ConcurrentLinkedQueue<>();

	private final Map<String, Integer> callerPorts = new ConcurrentHashMap<>();

	private volatile boolean ended;

	private void run(ServerExchange exchange) throws IOException {
		String id = String.valueOf(exchange.request().header("X-Plantainspur-Attempt-Id"));
		this.runs.computeIfAbsent(id, (key) -> new AtomicInteger()).incrementAndGet();
		exchange.waitWhileConnected(id.hashCode() & 31);
		exchange.respond(GatewayFixture.signedResponse(id, "done"));
	}

	// Sends requests on one connection after another until the soak ends.
	private void call(String host, long callerSeed) {
		Random random = new Random(callerSeed);
		int number = 0;
		while (!this.ended) {
			try (Socket socket = new Socket("127.0.0.1", this.callerPorts.get(host))) {
				socket.setSoTimeout(8_000);
				InputStream input = new BufferedInputStream(socket.getInputStream());
				boolean open = true;
				while (open && !this.ended) {
					open = exchange(socket, input, host, host + "-" + callerSeed + "-" + number++, random);
				}
			}
			catch (IOException ex) {
				GatewayFixture.sleep(20);
			}
		}
	}

	private boolean exchange(Socket socket, InputStream input, String host, String id, Random random) {
		boolean once = random.nextInt(3) == 0;
		String path = List.of("/read/", "/other/").get(random.nextInt(2));
		String request = once ? GatewayFixture.requestText("POST", "/book/1", id, "Content-Length: 0\r\n")
				: GatewayFixture.requestText("GET", path, id, "");
		String response;
		try {
			socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			response = GatewayFixture.readResponse(input);
		}
		catch (IOException ex) {
			response = "";
		}
		int status = response.startsWith("HTTP/1.1 ") ? Integer.parseInt(response.substring(9, 12)) : 0;
		this.results.add(new Result(host, id, once, status));
		GatewayFixture.sleep(random.nextInt(20));
		return status != 0 && !response.toLowerCase(java.util.Locale.ROOT).contains("connection: close");
	}

	private double servedShare(boolean undisturbed) {
		List<Result> counted = this.results.stream()
			.filter((result) -> result.host().equals("b1") == undisturbed)
			.toList();
		return counted.stream().filter((result) -> result.status() == 200).count() / (double) counted.size();
	}

	/** Returns how often requests were not served, by host, outcome and attempts. */
	private Map<String, Integer> unserved() {
		Map<String, Integer> counts = new TreeMap<>();
		for (String line : this.fixture.logLines()) {
			if (line.contains(" request ") && !line.contains("outcome, answered")) {
				String attempts = line.replaceAll(".*outcome, ([a-z-]+),.*attempts, (.*)", "$1 $2")
					.replaceAll("i-..|[0-9]+ms", "");
				counts.merge(line.substring(0, line.indexOf(' ')) + " " + attempts, 1, Integer::sum);
			}
		}
		return counts;
	}

	@Nested
	class RandomCuts {

		private final List<GatewayFixture.CuttableHost> hosts = new ArrayList<>();

		private void start(String name, String failureDomain) throws IOException {
			GatewayFixture.CuttableHost host = CutOffSoakTests.this.fixture.startReadyCuttableHost(name, failureDomain,
					REGIONS);
			this.hosts.add(host);
			CutOffSoakTests.this.callerPorts.put(name, host.port());
		}

		private void disturb(Random random) throws IOException {
			int index = 1 + random.nextInt(this.hosts.size() - 1);
			GatewayFixture.CuttableHost host = this.hosts.get(index);
			CuttablePath.Kind kind = CuttablePath.Kind.values()[random.nextInt(3)];
			switch (random.nextInt(6)) {
				case 0, 1 -> host.paths().cut(kind);
				case 2 -> host.paths().cut(kind, (port) -> port % 2 == 0);
				case 3, 4 -> host.paths().restore();
				default -> replace(index);
			}
			if (random.nextInt(4) == 0) {
				CutOffSoakTests.this.fixture.writeDesiredStateWithoutRateLimit();
			}
		}

		// Starts a host in place of one that stops.
		private void replace(int index) throws IOException {
			String name = "a" + index;
			GatewayFixture.CuttableHost stopped = this.hosts.get(index);
			GatewayFixture.CuttableHost started = CutOffSoakTests.this.fixture
				.startReadyCuttableHost(name + "-" + GatewayFixture.nowMs() % 10_000, "a", REGIONS);
			this.hosts.set(index, started);
			CutOffSoakTests.this.callerPorts.put(name, started.port());
			stopped.paths().restore();
			RawServer.startDaemonThread(() -> {
				stopped.host().shutdown().stop();
				stopped.host().gateway().close();
			});
		}

		@Test
		void requestsRunOnceAndCallersAreServed() throws Exception {
			for (int i = 0; i < CutOffSoakTests.this.seeds; i++) {
				if (i > 0) {
					closeFixture();
					openFixture();
					CutOffSoakTests.this.seed++;
				}
				this.hosts.clear();
				CutOffSoakTests.this.callerPorts.clear();
				CutOffSoakTests.this.results.clear();
				CutOffSoakTests.this.runs.clear();
				CutOffSoakTests.this.ended = false;
				soak();
			}
		}

		private void soak() throws Exception {
			CutOffSoakTests.this.fixture.writeDesiredStateWithoutRateLimit();
			for (String service : new String[] { "s", "t" }) {
				for (int i = 1; i <= 4; i++) {
					CutOffSoakTests.this.fixture.startTarget(service, "i-" + service + i, (i < 3) ? "a" : "b",
							CutOffSoakTests.this::run);
				}
			}
			start("b1", "b");
			for (int i = 1; i < CutOffSoakTests.this.hostCount; i++) {
				start("a" + i, "a");
			}
			CountDownLatch callersEnded = new CountDownLatch(CutOffSoakTests.this.hostCount * CALLERS_PER_HOST);
			for (String host : CutOffSoakTests.this.callerPorts.keySet()) {
				for (int i = 0; i < CALLERS_PER_HOST; i++) {
					long callerSeed = CutOffSoakTests.this.seed * 100 + i;
					RawServer.startDaemonThread(() -> {
						call(host, callerSeed);
						callersEnded.countDown();
					});
				}
			}
			Random random = new Random(CutOffSoakTests.this.seed);
			long endMs = GatewayFixture.nowMs() + CutOffSoakTests.this.seconds * 1_000L;
			while (GatewayFixture.nowMs() < endMs) {
				GatewayFixture.sleep(300 + random.nextInt(900));
				disturb(random);
			}
			CutOffSoakTests.this.ended = true;
			callersEnded.await();
			assertResults();
		}

		private void assertResults() {
			for (Result result : CutOffSoakTests.this.results) {
				int count = CutOffSoakTests.this.runs.getOrDefault(result.id(), new AtomicInteger()).get();
				if (result.once()) {
					assertThat(count).as(result.toString()).isLessThanOrEqualTo(1);
				}
				if (result.status() == 503 || result.status() == 429) {
					assertThat(result.once() ? count : 0).as(result.toString()).isZero();
				}
			}
			System.out.printf("seed %d, %d hosts: %d requests, served %.4f and %.4f%n", CutOffSoakTests.this.seed,
					CutOffSoakTests.this.hostCount, CutOffSoakTests.this.results.size(), servedShare(false),
					servedShare(true));
			assertThat(servedShare(true)).isGreaterThanOrEqualTo(UNDISTURBED_SHARE);
			assertThat(servedShare(false)).as("not served: %s", unserved()).isGreaterThanOrEqualTo(SERVED_SHARE);
		}

	}

	private record Result(String host, String id, boolean once, int status) {
	}

}
