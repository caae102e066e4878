package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.standins.http.Response;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against targets that get more requests than the limit that they name in their
 * responses, summed over all hosts.
 */
class TargetLimitTests extends AbstractGatewayTests {

	private static final double LIMIT = 2;

	/** The time after which a target's limit must be kept. */
	private static final long APPLY_MS = 4_000;

	private static final long WINDOW_MS = 4_000;

	private static final double ALLOWED_IN_WINDOW = 1.5 * LIMIT * WINDOW_MS / 1_000 + 5;

	/** The time between two requests of one caller. */
	private static final long REQUEST_INTERVAL_MS = 60;

	private final Queue<Long> arrivals = new ConcurrentLinkedQueue<>();

	private final Queue<Exchange> exchanges = new ConcurrentLinkedQueue<>();

	private volatile boolean limited = true;

	@BeforeEach
	void prepare() throws IOException {
		this.fixture.writeDesiredStateWithoutRateLimit();
	}

	private static Response answer(String id) {
		return GatewayFixture.signedResponse(id, "done");
	}

	private void startLimitedTarget(String id) throws IOException {
		this.fixture.startTarget(id, (exchange) -> {
			this.arrivals.add(GatewayFixture.nowMs());
			Response response = answer(String.valueOf(exchange.request().header("X-Plantainspur-Attempt-Id")));
			exchange.respond(this.limited ? response.withHeader("Server-Limit", String.valueOf(LIMIT)) : response);
		});
	}

	private void startTarget(String id) throws IOException {
		this.fixture.startTarget(id, (exchange) -> exchange
			.respond(answer(String.valueOf(exchange.request().header("X-Plantainspur-Attempt-Id")))));
	}

	// Sends requests to each host, one after another, until the time has passed.
	private void sendFor(long durationMs, List<GatewayFixture.Host> hosts) throws InterruptedException {
		ExecutorService callers = Executors.newFixedThreadPool(hosts.size());
		long endMs = GatewayFixture.nowMs() + durationMs;
		for (GatewayFixture.Host host : hosts) {
			callers.execute(() -> {
				while (GatewayFixture.nowMs() < endMs) {
					long startMs = GatewayFixture.nowMs();
					String response = GatewayFixture.sendRequest(host.port(),
							GatewayFixture.requestText("GET", "/read/1", "r" + System.nanoTime(), ""));
					this.exchanges.add(new Exchange(startMs, GatewayFixture.nowMs() - startMs, response));
					GatewayFixture.sleep(REQUEST_INTERVAL_MS);
				}
			});
		}
		callers.shutdown();
		assertThat(callers.awaitTermination(durationMs + 10_000, TimeUnit.MILLISECONDS)).isTrue();
	}

	private int mostArrivalsInAWindow(long fromMs) {
		List<Long> times = new ArrayList<>(this.arrivals);
		return times.stream()
			.filter((start) -> start >= fromMs)
			.mapToInt(
					(start) -> (int) times.stream().filter((time) -> time >= start && time < start + WINDOW_MS).count())
			.max()
			.orElse(0);
	}

	private List<GatewayFixture.Host> startHosts(String... names) throws IOException {
		List<GatewayFixture.Host> hosts = new ArrayList<>();
		for (String name : names) {
			hosts.add(this.fixture.startReadyHost(name));
		}
		return hosts;
	}

	@Nested
	class OneLimitedTargetOfTwo {

		@Test
		void getsNoMoreThanItsLimitFromAllHostsAndTheOtherServes() throws Exception {
			startLimitedTarget("i-1");
			startTarget("i-2");
			List<GatewayFixture.Host> hosts = startHosts("a1", "a2", "a3");
			long startMs = GatewayFixture.nowMs();
			sendFor(APPLY_MS + 2 * WINDOW_MS, hosts);
			assertThat(mostArrivalsInAWindow(startMs + APPLY_MS)).isLessThanOrEqualTo((int) ALLOWED_IN_WINDOW);
			assertThat(TargetLimitTests.this.exchanges)
				.allSatisfy((exchange) -> assertThat(exchange.response()).startsWith("HTTP/1.1 200"));
		}

	}

	@Nested
	class AllTargetsLimited {

		@Test
		void requestsThatFindNoRoomAreRefusedAtOnceWithTheTimeToReturn() throws Exception {
			startLimitedTarget("i-1");
			List<GatewayFixture.Host> hosts = startHosts("a1", "a2");
			long startMs = GatewayFixture.nowMs();
			sendFor(APPLY_MS + WINDOW_MS, hosts);
			assertThat(mostArrivalsInAWindow(startMs + APPLY_MS)).isLessThanOrEqualTo((int) ALLOWED_IN_WINDOW);
			List<Exchange> late = TargetLimitTests.this.exchanges.stream()
				.filter((exchange) -> exchange.startMs() >= startMs + APPLY_MS)
				.toList();
			assertThat(late).filteredOn((exchange) -> exchange.response().startsWith("HTTP/1.1 200"))
				.as("requests within the limit")
				.hasSizeGreaterThanOrEqualTo((int) (LIMIT * WINDOW_MS / 1_000 / 2));
			assertThat(late).filteredOn((exchange) -> !exchange.response().startsWith("HTTP/1.1 200"))
				.isNotEmpty()
				.allSatisfy((exchange) -> {
					assertThat(exchange.response()).startsWith("HTTP/1.1 503").containsIgnoringCase("retry-after: ");
					assertThat(exchange.tookMs()).isLessThan(500);
				});
		}

		@Test
		void allRequestsAreServedAgainOnceTheTargetNamesNoLimit() throws Exception {
			startLimitedTarget("i-1");
			List<GatewayFixture.Host> hosts = startHosts("a1", "a2");
			sendFor(APPLY_MS, hosts);
			TargetLimitTests.this.limited = false;
			sendFor(APPLY_MS, hosts);
			long startMs = GatewayFixture.nowMs();
			sendFor(WINDOW_MS, hosts);
			assertThat(TargetLimitTests.this.exchanges).filteredOn((exchange) -> exchange.startMs() >= startMs)
				.hasSizeGreaterThan((int) ALLOWED_IN_WINDOW)
				.allSatisfy((exchange) -> assertThat(exchange.response()).startsWith("HTTP/1.1 200"));
		}

	}

	@Nested
	class HostThatIsCutOff {

		@Test
		void usesItsPartOfTheLimitOverAnotherHostAndNoMore() throws Exception {
			startLimitedTarget("i-1");
			startTarget("i-2");
			List<GatewayFixture.CuttableHost> cuttable = new ArrayList<>();
			for (String name : new String[] { "a1", "a2", "a3" }) {
				cuttable.add(TargetLimitTests.this.fixture.startReadyCuttableHost(name, "a", "zones.a=r"));
			}
			List<GatewayFixture.Host> hosts = cuttable.stream().map(GatewayFixture.CuttableHost::host).toList();
			sendFor(APPLY_MS, hosts);
			cuttable.get(0).paths().cut(CuttablePath.Kind.SILENT);
			long cutMs = GatewayFixture.nowMs();
			sendFor(2 * WINDOW_MS, hosts);
			assertThat(mostArrivalsInAWindow(cutMs)).isLessThanOrEqualTo((int) ALLOWED_IN_WINDOW);
			assertThat(TargetLimitTests.this.exchanges).filteredOn((exchange) -> exchange.startMs() >= cutMs + 1_000)
				.isNotEmpty()
				.allSatisfy((exchange) -> assertThat(exchange.response()).as(() -> logLinesOf(exchange))
					.startsWith("HTTP/1.1 200"));
		}

		private String logLinesOf(Exchange exchange) {
			return TargetLimitTests.this.fixture.logLines()
				.stream()
				.filter((line) -> exchange.response()
					.lines()
					.anyMatch((header) -> header.startsWith("X-Plantainspur-Attempt-Id: ")
							&& line.contains(header.substring(header.indexOf(' ') + 1))))
				.toList()
				.toString();
		}

	}

	private record Exchange(long startMs, long tookMs, String response) {
	}

}
