package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.standins.http.ServerExchange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against hosts that refuse their callers while other hosts reach the targets.
 */
class CutOffHostTests extends AbstractGatewayTests {

	private static final String REGIONS = "zones.a=r\nzones.b=r";

	/** The time from a cut until callers must be served at the first attempt. */
	private static final long SERVED_AFTER_CUT_MS = 1_000;

	private static final int REQUESTS = 40;

	private final Queue<String> runs = new ConcurrentLinkedQueue<>();

	private final AtomicInteger requestNumber = new AtomicInteger();

	@BeforeEach
	void startTargets() throws IOException {
		this.fixture.writeDesiredStateWithoutRateLimit();
		for (String service : new String[] { "s", "t" }) {
			for (int i = 1; i <= 3; i++) {
				this.fixture.startTarget(service, "i-" + service + i, "a", this::run);
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

	private void assertServedDuring(CuttablePath.Kind kind) throws IOException {
		GatewayFixture.CuttableHost cutOff = this.fixture.startReadyCuttableHost("a1", "a", REGIONS);
		GatewayFixture.CuttableHost other = this.fixture.startReadyCuttableHost("a2", "a", REGIONS);
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

}
