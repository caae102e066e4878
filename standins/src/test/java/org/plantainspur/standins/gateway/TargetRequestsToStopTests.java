package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.standins.http.Response;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests to targets that have said in a response that they want none:
 * for a while, or since they are leaving.
 */
class TargetRequestsToStopTests extends AbstractGatewayTests {

	/** The time after a response until which requests that were on their way arrive. */
	private static final long MARGIN_MS = 500;

	private static final long PAUSE_MS = 3_000;

	private final Queue<Long> arrivals = new ConcurrentLinkedQueue<>();

	@BeforeEach
	void prepare() throws IOException {
		this.fixture.writeDesiredStateWithoutRateLimit();
	}

	private void startTarget(String id, boolean counted, Response response) throws IOException {
		this.fixture.startTarget(id, (exchange) -> {
			if (counted) {
				this.arrivals.add(GatewayFixture.nowMs());
			}
			exchange.respond(response.withHeader("X-Plantainspur-Attempt-Id",
					String.valueOf(exchange.request().header("X-Plantainspur-Attempt-Id"))));
		});
	}

	private static Response success() {
		return GatewayFixture.signedResponse("", "done");
	}

	private static Response decline() {
		return Response.text(503, "busy")
			.withHeader("X-Plantainspur-Not-Executed", "1")
			.withHeader("Retry-After", String.valueOf(PAUSE_MS / 1_000));
	}

	private static String send(GatewayFixture.Host host) {
		return GatewayFixture.sendRequest(host.port(),
				GatewayFixture.requestText("POST", "/book/1", "r" + System.nanoTime(), "Content-Length: 0\r\n"));
	}

	// Sends requests until the counted target has got one more. Requests that may be sent
	// again are tried on targets that have not been used for a while.
	private long sendUntilArrival(GatewayFixture.Host host) {
		int before = this.arrivals.size();
		GatewayFixture.await(() -> {
			GatewayFixture.sendRequest(host.port(),
					GatewayFixture.requestText("GET", "/read/1", "r" + System.nanoTime(), ""));
			return this.arrivals.size() > before;
		});
		return this.arrivals.stream().skip(before).findFirst().orElseThrow();
	}

	@Nested
	class LeavingTarget {

		@Test
		void getsNoRequestsFromAnyHostAfterItsResponse() throws Exception {
			startTarget("i-1", true, success().withHeader("Server-Leaving", "1"));
			startTarget("i-2", false, success());
			GatewayFixture.Host first = TargetRequestsToStopTests.this.fixture.startReadyHost("a1");
			GatewayFixture.Host second = TargetRequestsToStopTests.this.fixture.startReadyHost("a2");
			sendUntilArrival(first);
			GatewayFixture.await(() -> TargetRequestsToStopTests.this.fixture.logLines()
				.stream()
				.anyMatch((line) -> line.startsWith("a2 target-statement")));
			int before = TargetRequestsToStopTests.this.arrivals.size();
			for (int i = 0; i < 30; i++) {
				assertThat(send(first)).startsWith("HTTP/1.1 200");
				assertThat(send(second)).startsWith("HTTP/1.1 200");
			}
			assertThat(TargetRequestsToStopTests.this.arrivals).hasSize(before);
		}

	}

	@Nested
	class PausingTarget {

		@Test
		void getsNoRequestsUntilThePauseEnds() throws Exception {
			startTarget("i-1", true, decline());
			startTarget("i-2", false, success());
			GatewayFixture.Host host = TargetRequestsToStopTests.this.fixture.startReadyHost("a1");
			long firstMs = sendUntilArrival(host);
			while (GatewayFixture.nowMs() < firstMs + PAUSE_MS) {
				assertThat(send(host)).startsWith("HTTP/1.1 200");
				GatewayFixture.sleep(20);
			}
			assertThat(TargetRequestsToStopTests.this.arrivals)
				.filteredOn((ms) -> ms >= firstMs + MARGIN_MS && ms < firstMs + PAUSE_MS)
				.isEmpty();
			sendUntilArrival(host);
		}

		@Test
		void asTheOnlyOneLeavesCallersToComeBackAfterThePause() throws Exception {
			startTarget("i-1", true, decline());
			GatewayFixture.Host host = TargetRequestsToStopTests.this.fixture.startReadyHost("a1");
			long firstMs = sendUntilArrival(host);
			long startMs = GatewayFixture.nowMs();
			String response = send(host);
			assertThat(GatewayFixture.nowMs() - startMs).isLessThan(MARGIN_MS);
			assertThat(response).startsWith("HTTP/1.1 503");
			double retryAfterMs = 1_000
					* Double.parseDouble(response.replaceAll("(?is).*retry-after: ([0-9.]+).*", "$1"));
			assertThat(startMs + retryAfterMs).isBetween(firstMs + PAUSE_MS - 100.0, firstMs + PAUSE_MS + 600.0);
			assertThat(TargetRequestsToStopTests.this.arrivals).hasSize(1);
		}

	}

}
