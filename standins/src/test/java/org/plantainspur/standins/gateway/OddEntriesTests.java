package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.plantainspur.standins.http.ServerExchange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a host that ends or stops following a table of the store because another
 * writer left one odd entry in it.
 */
class OddEntriesTests extends AbstractGatewayTests {

	private final Set<String> usedTargets = ConcurrentHashMap.newKeySet();

	private void startTarget(String id) throws IOException {
		this.fixture.startTarget(id, (exchange) -> respond(id, exchange));
	}

	private void respond(String id, ServerExchange exchange) throws IOException {
		this.usedTargets.add(id);
		String requestId = String.valueOf(exchange.request().header("X-Plantainspur-Attempt-Id"));
		exchange.respond(GatewayFixture.signedResponse(requestId, "done"));
	}

	private static String sendRead(GatewayFixture.Host host, String id) {
		return GatewayFixture.sendRequest(host.port(), GatewayFixture.requestText("GET", "/read/1", id, ""));
	}

	private void awaitRequestsAt(GatewayFixture.Host host, String target) {
		GatewayFixture.await(() -> {
			assertThat(sendRead(host, "r" + System.nanoTime())).startsWith("HTTP/1.1 200");
			return this.usedTargets.contains(target);
		});
	}

	private static String nested(int depth) {
		return "{\"service\":" + "[".repeat(depth) + "]".repeat(depth) + "}";
	}

	@Nested
	class Targets {

		@ParameterizedTest
		@ValueSource(ints = { 900, 20_000 })
		void aTargetAddedAfterADeeplyNestedEntryGetsRequests(int depth) throws IOException {
			startTarget("i-1");
			GatewayFixture.Host host = OddEntriesTests.this.fixture.startReadyHost("a1");
			OddEntriesTests.this.fixture.store().put("servers", "i-0-odd", nested(depth));
			GatewayFixture.sleep(1_000);
			startTarget("i-2");
			awaitRequestsAt(host, "i-2");
		}

		@Test
		void aHostThatStartsBesideOddEntriesUsesTheOthers() throws IOException {
			startTarget("i-1");
			List<String> oddFields = List.of("\"slots\":3000000000", "\"slots\":1e400", "\"coldLeftMs\":1e18",
					"\"coldLeftMs\":-5", "\"address\":\"127.0.0.1:65536\"", "\"address\":\"127.0.0.1:0\"",
					"\"seq\":" + "9".repeat(1_200), "\"zone\":" + "{\"a\":".repeat(900));
			for (int i = 0; i < oddFields.size(); i++) {
				OddEntriesTests.this.fixture.store().put("servers", "i-odd-" + i, """
						{"service":"s","address":"127.0.0.1:1","zone":"a","version":"v1","slots":4,"state":"ready",
						"coldLeftMs":0,"seq":1,%s}""".formatted(oddFields.get(i)));
			}
			GatewayFixture.Host host = OddEntriesTests.this.fixture.startReadyHost("a1");
			for (int i = 0; i < 20; i++) {
				assertThat(sendRead(host, "r" + i)).startsWith("HTTP/1.1 200");
			}
			assertThat(OddEntriesTests.this.fixture.logLines()
				.stream()
				.filter((line) -> line.startsWith("a1 row-unreadable"))).hasSameSizeAs(oddFields);
		}

	}

	@Nested
	class DesiredStates {

		@Test
		void aChangeAfterADeeplyNestedStateIsInForce() throws IOException {
			startTarget("i-1");
			GatewayFixture.Host host = OddEntriesTests.this.fixture.startReadyHost("a1");
			OddEntriesTests.this.fixture.store().put("op", "config", nested(900));
			GatewayFixture.sleep(1_000);
			assertThat(sendRead(host, "r1")).as("the last valid state stays in force").startsWith("HTTP/1.1 200");
			OddEntriesTests.this.fixture.writeDesiredState("a-new-key");
			GatewayFixture.await(() -> sendRead(host, "r2").startsWith("HTTP/1.1 401"));
		}

	}

	@Nested
	class RegisteredHosts {

		@Test
		void hostsFindEachOtherBesideAnEntryThatIsNoHost() throws IOException {
			startTarget("i-1");
			OddEntriesTests.this.fixture.store().put("plantainspur-hosts-a", "a0", nested(900));
			GatewayFixture.Host first = OddEntriesTests.this.fixture.startReadyHost("a1");
			GatewayFixture.Host second = OddEntriesTests.this.fixture.startReadyHost("a2");
			String directoryRequest = "GET /resolve?name=jobs.example&region=r&zone=a HTTP/1.1\r\nHost: x\r\n\r\n";
			GatewayFixture.await(() -> GatewayFixture.sendRequest(first.directoryPort(), directoryRequest)
				.contains(":" + second.port()));
		}

	}

}
