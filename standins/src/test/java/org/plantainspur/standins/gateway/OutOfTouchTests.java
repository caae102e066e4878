package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.standins.http.ServerExchange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against state of a host that is out of touch with the store, and against wrong
 * conclusions about a machine that is only silent.
 */
class OutOfTouchTests extends AbstractGatewayTests {

	private static final int TABLES_OUT_OF_DATE_MILLIS = 3_500;

	private static void respond(ServerExchange exchange) throws IOException {
		String id = String.valueOf(exchange.request().header("X-Plantainspur-Attempt-Id"));
		exchange.respond(GatewayFixture.signedResponse(id, "done"));
	}

	private static String sendRead(GatewayFixture.Host host, String id) {
		return GatewayFixture.sendRequest(host.port(), GatewayFixture.requestText("GET", "/read/1", id, ""));
	}

	@Nested
	class RestartBesideAHostOutOfTouch {

		@Test
		void aWithdrawnKeyAndATargetThatLeftAreNotInUseAgain() throws Exception {
			AtomicInteger requestsToTheTargetThatLeft = new AtomicInteger();
			OutOfTouchTests.this.fixture.startTarget("i-1", OutOfTouchTests::respond);
			OutOfTouchTests.this.fixture.startTarget("i-2", (exchange) -> {
				requestsToTheTargetThatLeft.incrementAndGet();
				respond(exchange);
			});
			try (TcpForwarder pathToStore = new TcpForwarder(OutOfTouchTests.this.fixture.store().port())) {
				OutOfTouchTests.this.fixture.startReadyHostWithStoreAt("a1", pathToStore.port());
			}
			GatewayFixture.sleep(TABLES_OUT_OF_DATE_MILLIS);
			OutOfTouchTests.this.fixture.writeDesiredState("a-new-key");
			OutOfTouchTests.this.fixture.store().remove("servers", "i-2");
			GatewayFixture.Host restarted = OutOfTouchTests.this.fixture.startHost("a2");
			GatewayFixture.await(() -> {
				String response = sendRead(restarted, "r" + System.nanoTime());
				assertThat(response).doesNotStartWith("HTTP/1.1 200");
				return response.startsWith("HTTP/1.1 401");
			});
			assertThat(requestsToTheTargetThatLeft).hasValue(0);
		}

		@Test
		void itsTablesAreUsedWhileTheStoreIsAway() throws Exception {
			OutOfTouchTests.this.fixture.startTarget("i-1", OutOfTouchTests::respond);
			OutOfTouchTests.this.fixture.startReadyHost("a1");
			GatewayFixture.Host second = OutOfTouchTests.this.fixture.startReadyHost("a2");
			OutOfTouchTests.this.fixture.store().setUnavailable(true);
			GatewayFixture.sleep(TABLES_OUT_OF_DATE_MILLIS);
			GatewayFixture.Host restarted = OutOfTouchTests.this.fixture.killAndRestartHost("a2", second);
			GatewayFixture.await(() -> sendRead(restarted, "r").startsWith("HTTP/1.1 200"));
		}

	}

	@Nested
	class SilentTarget {

		/**
		 * A target whose entry is removed may still run requests; these are neither given
		 * up nor started again elsewhere.
		 */
		@Test
		void aRequestThatRunsThereIsAnsweredAfterItsEntryIsGone() throws Exception {
			CountDownLatch attemptStarted = new CountDownLatch(1);
			AtomicInteger runs = new AtomicInteger();
			for (String id : new String[] { "i-1", "i-2" }) {
				OutOfTouchTests.this.fixture.startTarget(id, (exchange) -> {
					runs.incrementAndGet();
					attemptStarted.countDown();
					exchange.waitWhileConnected(1_200);
					respond(exchange);
				});
			}
			GatewayFixture.Host host = OutOfTouchTests.this.fixture.startReadyHost("a1");
			String[] response = new String[1];
			Thread caller = new Thread(() -> response[0] = GatewayFixture.sendRequest(host.port(),
					GatewayFixture.requestText("POST", "/book/1", "r1", "Content-Length: 0\r\n")));
			caller.start();
			assertThat(attemptStarted.await(2, TimeUnit.SECONDS)).isTrue();
			OutOfTouchTests.this.fixture.store().remove("servers", "i-1");
			OutOfTouchTests.this.fixture.store().remove("servers", "i-2");
			GatewayFixture.await(() -> OutOfTouchTests.this.fixture.logLines()
				.stream()
				.filter((line) -> line.startsWith("a1 target-gone"))
				.count() == 2);
			caller.join();
			assertThat(response[0]).startsWith("HTTP/1.1 200");
			assertThat(runs).hasValue(1);
		}

	}

}
