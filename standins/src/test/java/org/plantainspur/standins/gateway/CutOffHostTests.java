package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.standins.http.ServerExchange;
import org.plantainspur.standins.http.StandInServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against hosts that refuse their callers while other hosts reach the targets.
 */
class CutOffHostTests extends AbstractGatewayTests {

	private static final String REGIONS = "zones.a=r\nzones.b=r";

	private static final String TWO_REGIONS = "zones.a=r\nzones.b=q";

	/** The time from a cut until callers must be served at the first attempt. */
	private static final long SERVED_AFTER_CUT_MS = 1_000;

	private static final int REQUESTS = 40;

	private final Queue<String> runs = new ConcurrentLinkedQueue<>();

	/** The targets of the service s, and their ports. */
	private final List<StandInServer> serviceTargets = new ArrayList<>();

	private final Set<Integer> servicePorts = new HashSet<>();

	private final AtomicInteger requestNumber = new AtomicInteger();

	@BeforeEach
	void startTargets() throws IOException {
		this.fixture.writeDesiredStateWithoutRateLimit();
		for (String service : new String[] { "s", "t" }) {
			for (int i = 1; i <= 3; i++) {
				StandInServer target = this.fixture.startTarget(service, "i-" + service + i, "a", this::run);
				if (service.equals("s")) {
					this.serviceTargets.add(target);
					this.servicePorts.add(target.port());
				}
			}
		}
	}

	private void run(ServerExchange exchange) throws IOException {
		String id = String.valueOf(exchange.request().header("X-Plantainspur-Attempt-Id"));
		this.runs.add(id);
		exchange.respond(GatewayFixture.signedResponse(id, "done"));
	}

	/** Sends requests of three routes in turn and returns how many were served. */
	private int countServed(GatewayFixture.CuttableHost host, int requests) {
		int served = 0;
		for (int i = 0; i < requests; i++) {
			String id = "r" + this.requestNumber.incrementAndGet();
			String request = switch (i % 3) {
				case 0 -> GatewayFixture.requestText("GET", "/read/1", id, "");
				case 1 -> GatewayFixture.requestText("GET", "/other/1", id, "");
				default -> GatewayFixture.requestText("POST", "/book/1", id, "Content-Length: 0\r\n");
			};
			if (GatewayFixture.sendRequest(host.port(), request).startsWith("HTTP/1.1 200")) {
				served++;
			}
		}
		return served;
	}

	private boolean isServed(GatewayFixture.CuttableHost host, String path) {
		String id = "r" + this.requestNumber.incrementAndGet();
		return GatewayFixture.sendRequest(host.port(), GatewayFixture.requestText("GET", path, id, ""))
			.startsWith("HTTP/1.1 200");
	}

	private long countLogLines(String beginning, String part) {
		return this.fixture.logLines()
			.stream()
			.filter((line) -> line.startsWith(beginning) && line.contains(part))
			.count();
	}

	private Map<String, Integer> outcomes() {
		Map<String, Integer> counts = new TreeMap<>();
		this.fixture.logLines()
			.stream()
			.filter((line) -> line.contains(" request ") || line.contains("targets-"))
			.map((line) -> line.replaceAll("r[0-9]+|[0-9]+ms|tookMs, [0-9]+|i-..", "")
				.replaceAll(".*outcome", "outcome"))
			.forEach((line) -> counts.merge(line, 1, Integer::sum));
		return counts;
	}

	private GatewayFixture.CuttableHost startHost(String name, String failureDomain) throws IOException {
		return this.fixture.startReadyCuttableHost(name, failureDomain, REGIONS);
	}

	private void assertServedDuring(CuttablePath.Kind kind) throws IOException {
		GatewayFixture.CuttableHost cutOff = startHost("a1", "a");
		GatewayFixture.CuttableHost other = startHost("a2", "a");
		assertThat(countServed(cutOff, REQUESTS)).isEqualTo(REQUESTS);
		cutOff.paths().cut(kind);
		long cutMs = GatewayFixture.nowMs();
		while (GatewayFixture.nowMs() - cutMs < SERVED_AFTER_CUT_MS) {
			countServed(cutOff, 1);
		}
		assertThat(countServed(other, REQUESTS)).isEqualTo(REQUESTS);
		assertThat(countServed(cutOff, REQUESTS)).isEqualTo(REQUESTS);
		assertThat(this.runs).doesNotHaveDuplicates();
	}

	@Nested
	class CutFromAllTargets {

		@Test
		void callersAreServedWhileConnectsGetNoAnswer() throws IOException {
			assertServedDuring(CuttablePath.Kind.SILENT);
		}

		@Test
		void callersAreServedWhileConnectionsAreReset() throws IOException {
			assertServedDuring(CuttablePath.Kind.RESET);
		}

		@Test
		void callersAreServedWhileConnectsAreRefused() throws IOException {
			assertServedDuring(CuttablePath.Kind.REFUSED);
		}

	}

	@Nested
	class WhoIsCutOff {

		@Test
		void aWholeDomainIsServedOverTheOtherOne() throws IOException {
			GatewayFixture.CuttableHost first = startHost("a1", "a");
			GatewayFixture.CuttableHost second = startHost("a2", "a");
			startHost("b1", "b");
			assertThat(countServed(first, REQUESTS)).isEqualTo(REQUESTS);
			first.paths().cut(CuttablePath.Kind.SILENT);
			second.paths().cut(CuttablePath.Kind.RESET);
			GatewayFixture.sleep(SERVED_AFTER_CUT_MS / 2);
			countServed(first, 6);
			countServed(second, 6);
			GatewayFixture.sleep(SERVED_AFTER_CUT_MS / 2);
			assertThat(countServed(first, REQUESTS)).isEqualTo(REQUESTS);
			assertThat(countServed(second, REQUESTS)).isEqualTo(REQUESTS);
		}

		@Test
		void oneHostServesTheCallersOfMoreHostsThatAreCutOff() throws IOException {
			List<GatewayFixture.CuttableHost> hosts = new ArrayList<>();
			for (String name : new String[] { "a1", "a2", "a3", "a4" }) {
				hosts.add(startHost(name, "a"));
			}
			for (GatewayFixture.CuttableHost host : hosts.subList(0, 3)) {
				host.paths().cut(CuttablePath.Kind.RESET);
			}
			hosts.forEach((host) -> countServed(host, 6));
			GatewayFixture.sleep(SERVED_AFTER_CUT_MS);
			for (GatewayFixture.CuttableHost host : hosts) {
				assertThat(countServed(host, REQUESTS)).isEqualTo(REQUESTS);
			}
		}

		@Test
		void allHostsRefuseAtOnce() throws IOException {
			List<GatewayFixture.CuttableHost> hosts = List.of(startHost("a1", "a"), startHost("a2", "a"));
			for (GatewayFixture.CuttableHost host : hosts) {
				host.paths().cut(CuttablePath.Kind.SILENT);
			}
			hosts.forEach((host) -> countServed(host, 6));
			GatewayFixture.sleep(SERVED_AFTER_CUT_MS);
			long startMs = GatewayFixture.nowMs();
			assertThat(countServed(hosts.get(0), 6)).isZero();
			assertThat(GatewayFixture.nowMs() - startMs).isLessThan(600);
		}

	}

	@Nested
	class HostsOfTwoRegions {

		private GatewayFixture.CuttableHost start(String name, String failureDomain) throws IOException {
			return CutOffHostTests.this.fixture.startReadyCuttableHost(name, failureDomain, TWO_REGIONS);
		}

		@Test
		void areServedOverTheNearestHostThatReachesTheTargets() throws IOException {
			GatewayFixture.CuttableHost first = start("a1", "a");
			GatewayFixture.CuttableHost near = start("a2", "a");
			GatewayFixture.CuttableHost far = start("b1", "b");
			start("b2", "b");
			first.paths().cut(CuttablePath.Kind.SILENT);
			far.paths().cut(CuttablePath.Kind.REFUSED);
			countServed(first, 6);
			countServed(far, 6);
			GatewayFixture.sleep(SERVED_AFTER_CUT_MS);
			assertThat(countServed(first, REQUESTS)).isEqualTo(REQUESTS);
			assertThat(countServed(far, REQUESTS)).isEqualTo(REQUESTS);
			assertThat(countLogLines("a1 request", " over b")).isZero();
			assertThat(countLogLines("b1 request", " over a")).isZero();
			near.paths().cut(CuttablePath.Kind.RESET);
			long cutMs = GatewayFixture.nowMs();
			while (GatewayFixture.nowMs() - cutMs < SERVED_AFTER_CUT_MS) {
				countServed(first, 1);
				countServed(near, 1);
			}
			assertThat(countServed(first, REQUESTS)).isEqualTo(REQUESTS);
			assertThat(countServed(near, REQUESTS)).isEqualTo(REQUESTS);
			assertThat(countLogLines("a1 request", " over b2 ")).isPositive();
		}

	}

	/** Guards against requests that each find the same dead path anew. */
	@Nested
	class FirstRequests {

		@Test
		void waitForEachSilentTargetOnceAtMost() throws IOException {
			GatewayFixture.CuttableHost host = startHost("a1", "a");
			startHost("a2", "a");
			host.paths().cut(CuttablePath.Kind.SILENT);
			assertThat(countServed(host, REQUESTS)).isEqualTo(REQUESTS);
			for (String service : new String[] { "s", "t" }) {
				for (int i = 1; i <= 3; i++) {
					assertThat(countLogLines("a1 request", "i-" + service + i + " NotSent")).isLessThanOrEqualTo(1);
				}
			}
		}

	}

	/** Guards against callers that pay for those of hosts that are cut off. */
	@Nested
	class HostsThatRelay {

		private static final int CALLERS = 4;

		private static final int REQUESTS_PER_CALLER = 30;

		@Test
		void serveTheirOwnCallersAsBeforeWhileAThirdIsCutOff() throws Exception {
			List<GatewayFixture.CuttableHost> hosts = List.of(startHost("a1", "a"), startHost("a2", "a"),
					startHost("b1", "b"));
			List<Integer> before = servedSideBySide(hosts);
			hosts.get(0).paths().cut(CuttablePath.Kind.SILENT);
			countServed(hosts.get(0), 6);
			GatewayFixture.sleep(SERVED_AFTER_CUT_MS);
			List<Integer> during = servedSideBySide(hosts);
			for (int i = 0; i < hosts.size(); i++) {
				assertThat(during.get(i)).as("%s before, %s during the cut", before, during)
					.isGreaterThanOrEqualTo(before.get(i) * 9 / 10);
			}
			assertThat(before).containsOnly(CALLERS * REQUESTS_PER_CALLER);
		}

		// Returns how many requests each host has served to callers of all hosts at once.
		private List<Integer> servedSideBySide(List<GatewayFixture.CuttableHost> hosts) throws Exception {
			ExecutorService callers = Executors.newFixedThreadPool(hosts.size() * CALLERS);
			try {
				List<List<Future<Integer>>> served = new ArrayList<>();
				for (GatewayFixture.CuttableHost host : hosts) {
					List<Future<Integer>> servedByHost = new ArrayList<>();
					for (int i = 0; i < CALLERS; i++) {
						servedByHost.add(callers.submit(() -> countServed(host, REQUESTS_PER_CALLER)));
					}
					served.add(servedByHost);
				}
				List<Integer> counts = new ArrayList<>();
				for (List<Future<Integer>> servedByHost : served) {
					int count = 0;
					for (Future<Integer> servedByCaller : servedByHost) {
						count += servedByCaller.get();
					}
					counts.add(count);
				}
				return counts;
			}
			finally {
				callers.shutdownNow();
			}
		}

	}

	@Nested
	class WhoseFaultItIs {

		@Test
		void theTargetsOfOneServiceAreReachedOverAnotherHost() throws IOException {
			GatewayFixture.CuttableHost host = startHost("a1", "a");
			startHost("a2", "a");
			countServed(host, REQUESTS);
			host.paths().cut(CuttablePath.Kind.RESET, CutOffHostTests.this.servicePorts::contains);
			long cutMs = GatewayFixture.nowMs();
			while (GatewayFixture.nowMs() - cutMs < SERVED_AFTER_CUT_MS) {
				countServed(host, 3);
			}
			for (int i = 0; i < REQUESTS; i++) {
				assertThat(isServed(host, "/other/1")).isTrue();
				assertThat(isServed(host, "/read/1")).isTrue();
			}
			assertThat(countLogLines("a1 targets-lost", "")).isZero();
		}

		/** Guards against a service that counts as down as most hosts have lost it. */
		@Test
		void theTargetsOfOneServiceAreReachedOverTheOnlyHostThatReachesThem() throws IOException {
			List<GatewayFixture.CuttableHost> hosts = new ArrayList<>();
			for (String name : new String[] { "a1", "a2", "a3", "a4", "a5", "a6" }) {
				hosts.add(startHost(name, "a"));
			}
			hosts.forEach((host) -> countServed(host, 6));
			for (GatewayFixture.CuttableHost host : hosts.subList(0, 5)) {
				host.paths().cut(CuttablePath.Kind.RESET, CutOffHostTests.this.servicePorts::contains);
			}
			long cutMs = GatewayFixture.nowMs();
			while (GatewayFixture.nowMs() - cutMs < SERVED_AFTER_CUT_MS) {
				hosts.forEach((host) -> countServed(host, 3));
			}
			for (int i = 0; i < REQUESTS; i++) {
				for (GatewayFixture.CuttableHost host : hosts) {
					assertThat(countServed(host, 3)).as(host + ": " + outcomes()).isEqualTo(3);
				}
			}
			assertThat(CutOffHostTests.this.runs).doesNotHaveDuplicates();
		}

		/** Guards against a service that counts as down because one domain lost it. */
		@Test
		void theTargetsOfOneServiceAreReachedOverAnotherDomain() throws IOException {
			List<GatewayFixture.CuttableHost> hosts = new ArrayList<>();
			for (String name : new String[] { "a1", "a2", "a3", "a4" }) {
				hosts.add(startHost(name, "a"));
			}
			startHost("b1", "b");
			countServed(hosts.get(0), REQUESTS);
			for (GatewayFixture.CuttableHost host : hosts) {
				host.paths().cut(CuttablePath.Kind.RESET, CutOffHostTests.this.servicePorts::contains);
			}
			long cutMs = GatewayFixture.nowMs();
			while (GatewayFixture.nowMs() - cutMs < SERVED_AFTER_CUT_MS) {
				hosts.forEach((host) -> countServed(host, 3));
			}
			for (GatewayFixture.CuttableHost host : hosts) {
				assertThat(countServed(host, REQUESTS)).as(String.valueOf(outcomes())).isEqualTo(REQUESTS);
			}
			assertThat(CutOffHostTests.this.runs).doesNotHaveDuplicates();
		}

		@Test
		void aServiceThatIsDownIsNotSentAround() throws Exception {
			GatewayFixture.CuttableHost host = startHost("a1", "a");
			startHost("a2", "a");
			startHost("a3", "a");
			countServed(host, REQUESTS);
			for (StandInServer target : CutOffHostTests.this.serviceTargets) {
				target.close();
			}
			for (int i = 0; i < REQUESTS; i++) {
				assertThat(isServed(host, "/other/1")).isTrue();
				assertThat(isServed(host, "/read/1")).isFalse();
			}
			// Each of the three targets is tried once over each of the other hosts.
			assertThat(countLogLines("a1 request", " over ")).isLessThanOrEqualTo(6);
			assertThat(countLogLines("", "targets-lost")).isZero();
		}

	}

	@Nested
	class EndOfTheCut {

		@Test
		void attemptsAreDirectAgainWithinASecond() throws IOException {
			GatewayFixture.CuttableHost host = startHost("a1", "a");
			startHost("a2", "a");
			host.paths().cut(CuttablePath.Kind.SILENT);
			countServed(host, REQUESTS);
			GatewayFixture.sleep(SERVED_AFTER_CUT_MS);
			assertThat(countLogLines("a1 request", " over a2 ")).isPositive();
			host.paths().restore();
			GatewayFixture.sleep(SERVED_AFTER_CUT_MS);
			long relayedBefore = countLogLines("a1 request", " over a2 ");
			assertThat(countServed(host, REQUESTS)).isEqualTo(REQUESTS);
			assertThat(countLogLines("a1 request", " over a2 ")).as(String.valueOf(outcomes()))
				.isEqualTo(relayedBefore);
			assertThat(countLogLines("a1 targets-regained", "")).isEqualTo(1);
		}

		@Test
		void callersAreServedWhilePathsComeAndGo() throws IOException {
			GatewayFixture.CuttableHost host = startHost("a1", "a");
			startHost("a2", "a");
			int sent = 0;
			int served = 0;
			long countedFromMs = GatewayFixture.nowMs() + SERVED_AFTER_CUT_MS;
			for (int i = 0; i < 12; i++) {
				if (i % 2 == 0) {
					host.paths().cut(CuttablePath.Kind.RESET);
				}
				else {
					host.paths().restore();
				}
				long endMs = GatewayFixture.nowMs() + 700;
				while (GatewayFixture.nowMs() < endMs) {
					int servedOfThree = countServed(host, 3);
					if (GatewayFixture.nowMs() >= countedFromMs) {
						served += servedOfThree;
						sent += 3;
					}
				}
			}
			assertThat(served).as(String.valueOf(outcomes())).isGreaterThanOrEqualTo(sent * 99 / 100);
			assertThat(countLogLines("a1 targets-lost", "")).isLessThanOrEqualTo(3);
		}

	}

}
