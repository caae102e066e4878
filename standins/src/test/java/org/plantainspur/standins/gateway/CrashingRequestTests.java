package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request that crashes each target which begins to run it, and that its
 * caller sends again at any host: the work of others on these targets is lost each time.
 */
class CrashingRequestTests extends AbstractGatewayTests {

	private static final int TARGETS = 8;

	private final AtomicInteger crashes = new AtomicInteger();

	@BeforeEach
	void prepare() throws IOException {
		for (int i = 0; i < TARGETS; i++) {
			startCrashableTarget("i-" + i);
		}
	}

	// Starts a target that ends for good when a request whose id begins with "crash"
	// arrives.
	private void startCrashableTarget(String targetId) throws IOException {
		AtomicReference<RawServer> server = new AtomicReference<>();
		server.set(this.fixture.startRawTarget(targetId, (connection) -> {
			for (String id = connection.readRequestId(); id != null; id = connection.readRequestId()) {
				if (id.startsWith("crash")) {
					this.crashes.incrementAndGet();
					server.get().close();
					return;
				}
				connection.write("HTTP/1.1 200 OK\r\nX-Plantainspur-Attempt-Id: " + id
						+ "\r\nX-Plantainspur-Response-Signature: signed\r\nContent-Length: 0\r\n\r\n");
			}
		}));
	}

	private static String read(GatewayFixture.Host host, String path, String id) {
		return GatewayFixture.sendRequest(host.port(), GatewayFixture.requestText("GET", path, id, ""));
	}

	@Nested
	class Repeated {

		@Test
		void reachesNoTargetAfterItHasCrashedThree() throws IOException {
			GatewayFixture.Host host = CrashingRequestTests.this.fixture.startReadyHost("a1");
			for (int i = 0; i < 6; i++) {
				read(host, "/read/crashing", "crash-" + i);
			}
			assertThat(CrashingRequestTests.this.crashes).hasValue(3);
			assertThat(read(host, "/read/crashing", "crash-last")).startsWith("HTTP/1.1 503")
				.containsIgnoringCase("retry-after");
			assertThat(read(host, "/read/healthy", "r1")).startsWith("HTTP/1.1 200");
		}

		@Test
		void reachesNoTargetThroughAnotherHost() throws IOException {
			GatewayFixture.Host first = CrashingRequestTests.this.fixture.startReadyHost("a1");
			GatewayFixture.Host second = CrashingRequestTests.this.fixture.startReadyHost("a2");
			for (int i = 0; i < 2; i++) {
				read(first, "/read/crashing", "crash-" + i);
			}
			assertThat(CrashingRequestTests.this.crashes).hasValue(3);
			// Crashes are reported once they cannot be refuted any more, with the next
			// heartbeat.
			GatewayFixture.sleep(2_000);
			for (int i = 2; i < 5; i++) {
				assertThat(read(second, "/read/crashing", "crash-" + i)).startsWith("HTTP/1.1 503");
			}
			assertThat(CrashingRequestTests.this.crashes).hasValue(3);
		}

	}

}
