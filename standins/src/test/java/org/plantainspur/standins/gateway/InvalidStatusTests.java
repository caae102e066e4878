package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a target's response whose status is none of HTTP: it reaches the caller,
 * or the caller waits for another one that does not come.
 */
class InvalidStatusTests extends AbstractGatewayTests {

	private static final String REGIONS = "zones.a=r";

	/** Well below the time that the requests leave. */
	private static final long AT_ONCE_MS = 1_000;

	private final AtomicBoolean invalid = new AtomicBoolean();

	private void startTarget(String id, String code, boolean alwaysSound) throws IOException {
		this.fixture.startRawTarget(id, (connection) -> {
			for (String request = connection.readRequestId(); request != null; request = connection.readRequestId()) {
				String status = (this.invalid.get() && !alwaysSound) ? code : "200";
				connection.write("HTTP/1.1 " + status + " -\r\nX-Plantainspur-Attempt-Id: " + request
						+ "\r\nX-Plantainspur-Response-Signature: signed\r\nContent-Length: 4\r\n\r\ndone");
			}
		});
	}

	private static String send(int port, String method, String path) {
		long startedMs = GatewayFixture.nowMs();
		String response = GatewayFixture.sendRequest(port,
				GatewayFixture.requestText(method, path, "r" + System.nanoTime(), "Content-Length: 0\r\n"));
		assertThat(GatewayFixture.nowMs() - startedMs).isLessThan(AT_ONCE_MS);
		return response;
	}

	@Nested
	class OnTheDirectPath {

		@ParameterizedTest
		@ValueSource(strings = { "000", "099", "101", "150", "600", "999", "0200", "+20" })
		void endsARequestThatMustNotRunAgainWith502(String code) throws Exception {
			startTarget("i-1", code, false);
			startTarget("i-2", code, false);
			GatewayFixture.Host host = InvalidStatusTests.this.fixture.startReadyHost("a1");
			InvalidStatusTests.this.invalid.set(true);
			assertThat(send(host.port(), "POST", "/book/1")).startsWith("HTTP/1.1 502");
		}

		@ParameterizedTest
		@ValueSource(strings = { "000", "600" })
		void leadsToAnotherAttemptOfASafeRequest(String code) throws Exception {
			startTarget("i-1", code, false);
			startTarget("i-2", code, true);
			GatewayFixture.Host host = InvalidStatusTests.this.fixture.startReadyHost("a1");
			InvalidStatusTests.this.invalid.set(true);
			for (int i = 0; i < 6; i++) {
				assertThat(send(host.port(), "GET", "/read/1")).startsWith("HTTP/1.1 200");
			}
			assertThat(InvalidStatusTests.this.fixture.logLines()).anyMatch((line) -> line.contains("i-1 Broken"));
		}

	}

	@Nested
	class OverAnotherHost {

		@ParameterizedTest
		@ValueSource(strings = { "000", "600" })
		void endsARequestThatMustNotRunAgainWith502(String code) throws Exception {
			startTarget("i-1", code, false);
			startTarget("i-2", code, false);
			GatewayFixture.CuttableHost cutOff = InvalidStatusTests.this.fixture.startReadyCuttableHost("a1", "a",
					REGIONS);
			InvalidStatusTests.this.fixture.startReadyCuttableHost("a2", "a", REGIONS);
			cutOff.paths().cut(CuttablePath.Kind.RESET);
			GatewayFixture.await(() -> GatewayFixture
				.sendRequest(cutOff.port(), GatewayFixture.requestText("GET", "/read/1", "w" + System.nanoTime(), ""))
				.startsWith("HTTP/1.1 200")
					&& InvalidStatusTests.this.fixture.logLines()
						.stream()
						.anyMatch((line) -> line.contains(" over a2 Answered")));
			InvalidStatusTests.this.invalid.set(true);
			assertThat(send(cutOff.port(), "POST", "/book/1")).startsWith("HTTP/1.1 502");
		}

	}

}
