package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.standins.http.Request;
import org.plantainspur.standins.http.ServerExchange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards what callers and targets are promised against attempts that go over a second
 * host.
 */
class RelayedAttemptTests extends AbstractGatewayTests {

	private static final String REGIONS = "zones.a=r";

	private final Queue<Request> runs = new ConcurrentLinkedQueue<>();

	private final CountDownLatch slowRunStarted = new CountDownLatch(1);

	private final CountDownLatch slowRunCancelled = new CountDownLatch(1);

	private volatile long slowRunMs = 1_000;

	private GatewayFixture.CuttableHost cutOff;

	private GatewayFixture.CuttableHost relay;

	@BeforeEach
	void cutOffOneOfTwoHosts() throws IOException {
		this.fixture.writeDesiredStateWithoutRateLimit();
		for (String service : new String[] { "s", "t" }) {
			this.fixture.startTarget(service, "i-" + service + "1", "a", this::run);
			this.fixture.startTarget(service, "i-" + service + "2", "a", this::run);
		}
		this.cutOff = this.fixture.startReadyCuttableHost("a1", "a", REGIONS);
		this.relay = this.fixture.startReadyCuttableHost("a2", "a", REGIONS);
		this.cutOff.paths().cut(CuttablePath.Kind.RESET);
		GatewayFixture.await(() -> send("GET", "/read/1", "warm" + System.nanoTime(), "").startsWith("HTTP/1.1 200")
				&& this.fixture.logLines().stream().anyMatch((line) -> line.contains(" over a2 Answered")));
		this.runs.clear();
	}

	private void run(ServerExchange exchange) throws IOException {
		Request request = exchange.request();
		this.runs.add(request);
		if (request.target().contains("slow")) {
			this.slowRunStarted.countDown();
			if (!exchange.waitWhileConnected(this.slowRunMs)) {
				this.slowRunCancelled.countDown();
				return;
			}
		}
		exchange.respond(GatewayFixture.signedResponse(String.valueOf(request.header("X-Plantainspur-Attempt-Id")),
				"done " + request.body().length));
	}

	private String send(String method, String path, String id, String extra) {
		return GatewayFixture.sendRequest(this.cutOff.port(), GatewayFixture.requestText(method, path, id, extra));
	}

	private Thread sendInBackground(String method, String path, String extra, String[] response) {
		Thread caller = new Thread(() -> response[0] = send(method, path, "slow1", extra));
		caller.start();
		return caller;
	}

	@Nested
	class RelayPort {

		@Test
		void runsNothingWithoutAProof() {
			String request = GatewayFixture.requestText("POST", "/book/1", "forged",
					"X-Plantainspur-Tenant-Id: mill\r\nX-Plantainspur-Expect-Instance: i-s1\r\n"
							+ "Plantainspur-Relay-Target: i-s1\r\nPlantainspur-Relay-Retryable: false\r\n"
							+ "Plantainspur-Relay-Nonce: 1\r\nPlantainspur-Relay-Sent-Ms: " + System.currentTimeMillis()
							+ "\r\nPlantainspur-Relay-Proof: " + "0".repeat(64) + "\r\nContent-Length: 0\r\n");
			int relayPort = RelayedAttemptTests.this.relay.host().peerPort() + 2;
			String response = GatewayFixture.sendRequest(relayPort, request);
			assertThat(response).contains("REJECTED");
			assertThat(RelayedAttemptTests.this.runs).isEmpty();
		}

		@Test
		void ignoresMalformedRequests() {
			int relayPort = RelayedAttemptTests.this.relay.host().peerPort() + 2;
			for (String bytes : List.of("\r\n\r\n", "GET\r\n\r\n", "x".repeat(40_000) + "\r\n\r\n")) {
				GatewayFixture.sendRequest(relayPort, bytes);
			}
			assertThat(send("GET", "/read/1", "after", "")).startsWith("HTTP/1.1 200");
		}

	}

	@Nested
	class WhatTheTargetGets {

		@Test
		void isTheCallersRequestWithTheAccountAndWithoutTheKey() {
			String body = "x".repeat(30_000);
			String response = send("POST", "/book/1?a=b", "r1",
					"X-Plantainspur-Tenant-Id: forged\r\nX-Other: kept\r\nContent-Length: 30000\r\n\r\n" + body);
			assertThat(response).startsWith("HTTP/1.1 200").contains("done 30000");
			assertThat(RelayedAttemptTests.this.runs).hasSize(1);
			Request run = RelayedAttemptTests.this.runs.peek();
			assertThat(run.target()).isEqualTo("/book/1?a=b");
			assertThat(run.header("X-Plantainspur-Tenant-Id")).isEqualTo("mill");
			assertThat(run.header("X-Other")).isEqualTo("kept");
			assertThat(run.header("Authorization")).isNull();
			assertThat(run.header("Plantainspur-Relay-Proof")).isNull();
			assertThat(run.header("Plantainspur-Relay-Target")).isNull();
			assertThat(Long.parseLong(String.valueOf(run.header("X-Plantainspur-Deadline-Ms")))).isBetween(1L, 2_000L);
		}

	}

	@Nested
	class OpenRequest {

		@Test
		void isCancelledWhenItsCallerLeaves() throws Exception {
			try (Socket caller = new Socket("127.0.0.1", RelayedAttemptTests.this.cutOff.port())) {
				caller.getOutputStream()
					.write(GatewayFixture.requestText("GET", "/read/slow", "leaves", "")
						.getBytes(StandardCharsets.ISO_8859_1));
				assertThat(RelayedAttemptTests.this.slowRunStarted.await(2, TimeUnit.SECONDS)).isTrue();
			}
			assertThat(RelayedAttemptTests.this.slowRunCancelled.await(500, TimeUnit.MILLISECONDS)).isTrue();
		}

		@Test
		void runsOnceAndEndsWith502WhenTheRelayingHostIsKilled() throws Exception {
			String[] response = new String[1];
			Thread caller = sendInBackground("POST", "/book/slow", "Content-Length: 0\r\n", response);
			assertThat(RelayedAttemptTests.this.slowRunStarted.await(2, TimeUnit.SECONDS)).isTrue();
			RelayedAttemptTests.this.relay.host().gateway().close();
			caller.join();
			assertThat(response[0]).startsWith("HTTP/1.1 502");
			assertThat(RelayedAttemptTests.this.runs).hasSize(1);
			assertThat(RelayedAttemptTests.this.fixture.logLines())
				.noneMatch((line) -> line.startsWith("a1 target-connection-lost") && line.contains("slow1"));
		}

		@Test
		void isAnsweredWhileTheRelayingHostStops() throws Exception {
			String[] response = new String[1];
			Thread caller = sendInBackground("POST", "/book/slow", "Content-Length: 0\r\n", response);
			assertThat(RelayedAttemptTests.this.slowRunStarted.await(2, TimeUnit.SECONDS)).isTrue();
			Thread stop = new Thread(() -> RelayedAttemptTests.this.relay.host().shutdown().stop());
			stop.start();
			caller.join();
			assertThat(response[0]).startsWith("HTTP/1.1 200");
			stop.join();
		}

		@Test
		void isAnsweredWhileItsOwnHostStops() throws Exception {
			String[] response = new String[1];
			Thread caller = sendInBackground("POST", "/book/slow", "Content-Length: 0\r\n", response);
			assertThat(RelayedAttemptTests.this.slowRunStarted.await(2, TimeUnit.SECONDS)).isTrue();
			Thread stop = new Thread(() -> RelayedAttemptTests.this.cutOff.host().shutdown().stop());
			stop.start();
			caller.join();
			assertThat(response[0]).startsWith("HTTP/1.1 200");
			stop.join();
		}

		@Test
		void endsAtItsDeadline() throws Exception {
			RelayedAttemptTests.this.slowRunMs = 4_000;
			long startMs = GatewayFixture.nowMs();
			assertThat(send("POST", "/book/slow", "late", "Content-Length: 0\r\n")).startsWith("HTTP/1.1 504");
			assertThat(GatewayFixture.nowMs() - startMs).isBetween(1_800L, 2_500L);
			assertThat(RelayedAttemptTests.this.runs).hasSize(1);
		}

	}

	@Nested
	class HostWithoutRoom {

		private static final int REQUESTS = 60;

		/** Most of the time that a request takes at the target. */
		private static final long AT_ONCE_MS = 600;

		@Test
		void refusesAtOnceWithATimeToReturnAndServesItsOwnCallers() throws Exception {
			Queue<String> refusals = new ConcurrentLinkedQueue<>();
			AtomicInteger served = new AtomicInteger();
			CountDownLatch ended = new CountDownLatch(REQUESTS);
			for (int i = 0; i < REQUESTS; i++) {
				String id = "many" + i;
				RawServer.startDaemonThread(() -> {
					long startMs = GatewayFixture.nowMs();
					String response = send("GET", "/read/slow", id, "");
					if (response.startsWith("HTTP/1.1 200")) {
						served.incrementAndGet();
					}
					else if (GatewayFixture.nowMs() - startMs < AT_ONCE_MS) {
						refusals.add(response);
					}
					ended.countDown();
				});
			}
			GatewayFixture.sleep(200);
			String own = GatewayFixture.sendRequest(RelayedAttemptTests.this.relay.port(),
					GatewayFixture.requestText("GET", "/other/1", "own", ""));
			assertThat(own).startsWith("HTTP/1.1 200");
			ended.await();
			assertThat(served).hasPositiveValue();
			assertThat(refusals).isNotEmpty();
			assertThat(served.get() + refusals.size()).isEqualTo(REQUESTS);
			assertThat(refusals)
				.allMatch((response) -> response.startsWith("HTTP/1.1 503") && response.contains("retry-after: "));
		}

	}

	@Nested
	class StoppingHost {

		@Test
		void relaysNothingNewAndAnotherOneDoes() throws Exception {
			RelayedAttemptTests.this.fixture.startReadyCuttableHost("a3", "a", REGIONS);
			GatewayFixture.sleep(600);
			AtomicBoolean stopped = new AtomicBoolean();
			Thread stop = new Thread(() -> {
				RelayedAttemptTests.this.relay.host().shutdown().stop();
				stopped.set(true);
			});
			stop.start();
			GatewayFixture.sleep(100);
			int served = 0;
			int sent = 0;
			while (!stopped.get()) {
				sent++;
				served += send("GET", "/read/1", "stop" + sent, "").startsWith("HTTP/1.1 200") ? 1 : 0;
				GatewayFixture.sleep(20);
			}
			stop.join();
			assertThat(served).isEqualTo(sent);
		}

	}

}
