package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.standins.http.Request;
import org.plantainspur.standins.http.Response;
import org.plantainspur.standins.http.ServerExchange;
import org.plantainspur.standins.http.StandInServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that run twice, get a wrong response or are refused without
 * need when targets, callers or the table store fail. Runs entry hosts with a stand-in
 * for the platform's table store.
 */
class GatewayTests extends AbstractGatewayTests {

	private final List<Request> receivedRequests = new CopyOnWriteArrayList<>();

	private void respond(ServerExchange exchange) throws IOException {
		this.receivedRequests.add(exchange.request());
		exchange.respond(GatewayFixture.signedResponse(attemptId(exchange), "done"));
	}

	private static String attemptId(ServerExchange exchange) {
		return String.valueOf(exchange.request().header("X-Plantainspur-Attempt-Id"));
	}

	private String sendRead(GatewayFixture.Host host, String id) {
		return GatewayFixture.sendRequest(host.port(), GatewayFixture.requestText("GET", "/read/1?q=2", id, ""));
	}

	private String sendBooking(GatewayFixture.Host host, String id) {
		return GatewayFixture.sendRequest(host.port(),
				GatewayFixture.requestText("POST", "/book/1", id, "Content-Length: 2\r\n") + "{}");
	}

	@Nested
	class Forwarding {

		@Test
		void aRequestReachesTheTargetForItsAccountWithoutItsKey() throws IOException {
			GatewayTests.this.fixture.startTarget("i-1", GatewayTests.this::respond);
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			String response = GatewayFixture.sendRequest(host.port(), GatewayFixture.requestText("GET", "/read/1?q=2",
					"r1", "X-Plantainspur-Tenant-Id: other\r\nX-Other: kept\r\nConnection: X-Hop\r\nX-Hop: no\r\n"));
			assertThat(response).startsWith("HTTP/1.1 200").contains("X-Plantainspur-Response-Signature: signed");
			assertThat(response).endsWith("done");
			Request request = GatewayTests.this.receivedRequests.get(0);
			assertThat(request.target()).isEqualTo("/read/1?q=2");
			assertThat(request.header("X-Plantainspur-Tenant-Id")).isEqualTo("mill");
			assertThat(request.header("X-Plantainspur-Expect-Instance")).isEqualTo("i-1");
			assertThat(request.header("X-Other")).isEqualTo("kept");
			assertThat(request.header("X-Hop")).isNull();
			assertThat(request.header("Authorization")).isNull();
			assertThat(Integer.parseInt(request.header("X-Plantainspur-Deadline-Ms"))).isBetween(1_000, 2_000);
		}

		@Test
		void unknownRoutesAndKeysAreRefused() throws IOException {
			GatewayTests.this.fixture.startTarget("i-1", GatewayTests.this::respond);
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			assertThat(GatewayFixture.sendRequest(host.port(), GatewayFixture.requestText("GET", "/none/", "r", "")))
				.startsWith("HTTP/1.1 404");
			String requestWithUnknownKey = GatewayFixture.requestText("GET", "/read/1", "r", "")
				.replace(GatewayFixture.KEY, "stranger");
			assertThat(GatewayFixture.sendRequest(host.port(), requestWithUnknownKey)).startsWith("HTTP/1.1 401");
			assertThat(GatewayTests.this.receivedRequests).isEmpty();
		}

		@Test
		void aRequestWithBothContentLengthAndChunkedEncodingIsRefused() throws IOException {
			GatewayTests.this.fixture.startTarget("i-1", GatewayTests.this::respond);
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			String response = GatewayFixture.sendRequest(host.port(),
					GatewayFixture.requestText("POST", "/book/1", "r",
							"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n")
							+ "0\r\n\r\nGET /read/2 HTTP/1.1\r\n\r\n");
			assertThat(response).startsWith("HTTP/1.1 400");
			assertThat(GatewayTests.this.receivedRequests).isEmpty();
		}

	}

	@Nested
	class Limits {

		@Test
		void headersAndBodiesAboveTheLimitsAreRefused() throws IOException {
			GatewayTests.this.fixture.startTarget("i-1", GatewayTests.this::respond);
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			String headers = GatewayFixture.requestText("GET", "/read/1", "r1",
					"X-Long: " + "x".repeat(20_000) + "\r\n");
			assertThat(GatewayFixture.sendRequest(host.port(), headers)).startsWith("HTTP/1.1 431");
			String body = GatewayFixture.requestText("POST", "/book/1", "r2", "Content-Length: 70000\r\n");
			assertThat(GatewayFixture.sendRequest(host.port(), body)).startsWith("HTTP/1.1 413");
			assertThat(GatewayTests.this.receivedRequests).isEmpty();
		}

		@Test
		void aMalformedRequestLineIsRefused() throws IOException {
			GatewayTests.this.fixture.startTarget("i-1", GatewayTests.this::respond);
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			assertThat(GatewayFixture.sendRequest(host.port(), "GET\r\n\r\n")).startsWith("HTTP/1.1 400");
			assertThat(GatewayFixture.sendRequest(host.port(), "GET http://jobs.example/read/1 HTTP/1.1\r\n\r\n"))
				.startsWith("HTTP/1.1 400");
		}

	}

	@Nested
	class AtMostOnce {

		@Test
		void aRequestThatMayHaveRunIsNotRetried() throws IOException {
			AtomicInteger attempts = new AtomicInteger();
			for (String id : List.of("i-1", "i-2")) {
				GatewayTests.this.fixture.startTarget(id, (exchange) -> {
					attempts.incrementAndGet();
					exchange.reset();
				});
			}
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			assertThat(sendBooking(host, "r1")).startsWith("HTTP/1.1 502");
			assertThat(attempts).hasValue(1);
		}

		@Test
		void aRequestThatATargetDeclinedIsSentToAnother() throws IOException {
			AtomicInteger attempts = new AtomicInteger();
			for (String id : List.of("i-1", "i-2")) {
				GatewayTests.this.fixture.startTarget(id, (exchange) -> {
					if (attempts.getAndIncrement() == 0) {
						exchange.respond(Response.text(503, "")
							.withHeader("X-Plantainspur-Not-Executed", "1")
							.withHeader("X-Plantainspur-Attempt-Id", attemptId(exchange)));
					}
					else {
						respond(exchange);
					}
				});
			}
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			assertThat(sendBooking(host, "r1")).startsWith("HTTP/1.1 200");
			assertThat(attempts).hasValue(2);
		}

		@Test
		void aTargets503WithoutANotExecutedHeaderIsNotReportedAsNotRun() throws IOException {
			GatewayTests.this.fixture.startTarget("i-1", (exchange) -> exchange
				.respond(Response.text(503, "busy").withHeader("X-Plantainspur-Attempt-Id", attemptId(exchange))));
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			assertThat(sendBooking(host, "r1")).startsWith("HTTP/1.1 502");
		}

		@Test
		void aRequestThatMayHaveRunIsNotReportedAsNotRun() throws IOException {
			AtomicInteger attempts = new AtomicInteger();
			for (String id : List.of("i-1", "i-2")) {
				GatewayTests.this.fixture.startTarget(id, (exchange) -> {
					if (attempts.getAndIncrement() == 0) {
						exchange.reset();
					}
					else {
						exchange.respond(Response.text(503, "")
							.withHeader("X-Plantainspur-Not-Executed", "1")
							.withHeader("X-Plantainspur-Attempt-Id", attemptId(exchange)));
					}
				});
			}
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			assertThat(sendRead(host, "r1")).startsWith("HTTP/1.1 502");
		}

		@Test
		void anIdempotentRequestIsRetried() throws IOException {
			AtomicInteger attempts = new AtomicInteger();
			for (String id : List.of("i-1", "i-2")) {
				GatewayTests.this.fixture.startTarget(id, (exchange) -> {
					if (attempts.getAndIncrement() == 0) {
						exchange.reset();
					}
					else {
						respond(exchange);
					}
				});
			}
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			assertThat(sendRead(host, "r1")).startsWith("HTTP/1.1 200");
		}

	}

	@Nested
	class ResponseIntegrity {

		@Test
		void aResponseToAnotherRequestIsNotDelivered() throws IOException {
			GatewayTests.this.fixture.startTarget("i-1",
					(exchange) -> exchange.respond(GatewayFixture.signedResponse("another", "not yours")));
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			assertThat(sendBooking(host, "r1")).startsWith("HTTP/1.1 504").doesNotContain("not yours");
		}

		@Test
		void aTruncatedResponseIsReplacedByAFailure() throws IOException {
			GatewayTests.this.fixture.startTarget("i-1", (exchange) -> exchange
				.truncate(GatewayFixture.signedResponse(attemptId(exchange), "a long answer")));
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			assertThat(sendBooking(host, "r1")).startsWith("HTTP/1.1 502").doesNotContain("a long");
		}

		@Test
		void aResponseWithoutASignatureIsReplacedByAFailure() throws IOException {
			GatewayTests.this.fixture.startTarget("i-1", (exchange) -> exchange
				.respond(Response.text(200, "forged").withHeader("X-Plantainspur-Attempt-Id", attemptId(exchange))));
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			assertThat(sendBooking(host, "r1")).startsWith("HTTP/1.1 502").doesNotContain("forged");
		}

	}

	@Nested
	class CallerConnections {

		@Test
		void anIdempotentAttemptIsCancelledWhenItsCallerDisconnects() throws Exception {
			CountDownLatch attemptStarted = new CountDownLatch(1);
			CountDownLatch attemptCancelled = new CountDownLatch(1);
			GatewayTests.this.fixture.startTarget("i-1", (exchange) -> {
				attemptStarted.countDown();
				if (!exchange.waitWhileConnected(2_000)) {
					attemptCancelled.countDown();
				}
			});
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			try (Socket socket = new Socket("127.0.0.1", host.port())) {
				socket.getOutputStream()
					.write(GatewayFixture.requestText("GET", "/read/1", "r", "").getBytes(StandardCharsets.ISO_8859_1));
				assertThat(attemptStarted.await(2, TimeUnit.SECONDS)).isTrue();
			}
			assertThat(attemptCancelled.await(500, TimeUnit.MILLISECONDS)).isTrue();
		}

		/**
		 * Guards against subtracting a request from the open requests twice: when its
		 * caller disconnects, and again when its attempt ends.
		 */
		@Test
		void aRequestOfADisconnectedCallerIsCountedOnce() throws Exception {
			CountDownLatch attemptStarted = new CountDownLatch(1);
			CountDownLatch attemptEnded = new CountDownLatch(1);
			GatewayTests.this.fixture.startTarget("i-1", (exchange) -> {
				attemptStarted.countDown();
				exchange.waitWhileConnected(200);
				respond(exchange);
				attemptEnded.countDown();
			});
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			try (Socket socket = new Socket("127.0.0.1", host.port())) {
				String request = GatewayFixture.requestText("POST", "/book/1", "r", "Content-Length: 0\r\n");
				socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
				assertThat(attemptStarted.await(2, TimeUnit.SECONDS)).isTrue();
			}
			assertThat(attemptEnded.await(2, TimeUnit.SECONDS)).as("a non-idempotent attempt is not cancelled")
				.isTrue();
			GatewayFixture.await(() -> GatewayTests.this.fixture.logLines()
				.stream()
				.anyMatch((line) -> line.startsWith("a1 request") && line.contains("route, book")));
			Thread shutdownThread = new Thread(host.shutdown()::stop);
			shutdownThread.start();
			GatewayFixture.await(() -> GatewayTests.this.fixture.logLines()
				.stream()
				.anyMatch((line) -> line.startsWith("a1 stopping")));
			assertThat(GatewayTests.this.fixture.logLines()).contains("a1 stopping [openRequests, 0]");
			shutdownThread.join();
		}

		@Test
		void pipelinedRequestsAreAnsweredInOrder() throws IOException {
			GatewayTests.this.fixture.startTarget("i-1", (exchange) -> {
				exchange.waitWhileConnected(attemptId(exchange).equals("r1") ? 100 : 0);
				respond(exchange);
			});
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			try (Socket socket = new Socket("127.0.0.1", host.port())) {
				String pipelinedRequests = GatewayFixture.requestText("GET", "/read/1", "r1", "")
						+ GatewayFixture.requestText("GET", "/read/2", "r2", "");
				socket.getOutputStream().write(pipelinedRequests.getBytes(StandardCharsets.ISO_8859_1));
				assertThat(GatewayFixture.readResponse(socket.getInputStream())).contains("Attempt-Id: r1");
				assertThat(GatewayFixture.readResponse(socket.getInputStream())).contains("Attempt-Id: r2");
			}
		}

	}

	@Nested
	class ConfigurationChanges {

		@Test
		void aWithdrawnKeyIsRefused() throws IOException {
			GatewayTests.this.fixture.startTarget("i-1", GatewayTests.this::respond);
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			assertThat(sendRead(host, "r1")).startsWith("HTTP/1.1 200");
			GatewayTests.this.fixture.writeDesiredState("a-new-key");
			GatewayFixture.await(() -> sendRead(host, "r2").startsWith("HTTP/1.1 401"));
		}

		@Test
		void aDrainingTargetGetsNoNewRequests() throws IOException {
			AtomicInteger requestsToDrainingTarget = new AtomicInteger();
			StandInServer server = GatewayTests.this.fixture.startTarget("i-1", (exchange) -> {
				requestsToDrainingTarget.incrementAndGet();
				respond(exchange);
			});
			GatewayTests.this.fixture.startTarget("i-2", GatewayTests.this::respond);
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			GatewayTests.this.fixture.listTarget("i-1", server.port(), "draining");
			GatewayFixture.await(() -> GatewayTests.this.fixture.logLines()
				.stream()
				.anyMatch((line) -> line.contains("i-1") && line.contains("leaving, true")));
			int before = requestsToDrainingTarget.get();
			for (int i = 0; i < 10; i++) {
				assertThat(sendRead(host, "r" + i)).startsWith("HTTP/1.1 200");
			}
			assertThat(requestsToDrainingTarget).hasValue(before);
		}

		@Test
		void aChangeMissedByTheFeedIsInForceAfterTheHistoryIsLost() throws IOException {
			GatewayTests.this.fixture.startTarget("i-1", GatewayTests.this::respond);
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			GatewayTests.this.fixture.store().setFeedSilent(true);
			GatewayTests.this.fixture.writeDesiredState("a-new-key");
			GatewayFixture.sleep(300);
			GatewayTests.this.fixture.store().setFeedSilent(false);
			GatewayFixture.await(() -> sendRead(host, "r2").startsWith("HTTP/1.1 401"));
		}

	}

	@Nested
	class UnresponsiveTargets {

		@Test
		void aTargetWithAnOverdueRequestGetsNoFurtherOnes() throws Exception {
			AtomicReference<String> slowTarget = new AtomicReference<>("");
			for (String id : List.of("i-1", "i-2")) {
				GatewayTests.this.fixture.startTarget(id, (exchange) -> {
					if (attemptId(exchange).startsWith("slow")) {
						slowTarget.set(id);
						exchange.waitWhileConnected(5_000);
					}
					respond(exchange);
				});
			}
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			for (int i = 0; i < 10; i++) {
				assertThat(sendBooking(host, "r" + i)).startsWith("HTTP/1.1 200");
			}
			Thread caller = new Thread(() -> sendBooking(host, "slow"));
			caller.start();
			GatewayFixture.await(() -> !slowTarget.get().isEmpty());
			GatewayFixture.sleep(600);
			for (int i = 0; i < 10; i++) {
				sendBooking(host, "after" + i);
			}
			caller.join();
			assertThat(GatewayTests.this.receivedRequests.stream()
				.filter((request) -> String.valueOf(request.header("X-Plantainspur-Attempt-Id")).startsWith("after"))
				.map((request) -> request.header("X-Plantainspur-Expect-Instance"))).doesNotContain(slowTarget.get());
		}

	}

	@Nested
	class StoreUnavailable {

		@Test
		void requestsAreServedDuringTheOutageAndChangesApplyAfterIt() throws IOException {
			GatewayTests.this.fixture.startTarget("i-1", GatewayTests.this::respond);
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			GatewayTests.this.fixture.store().setUnavailable(true);
			GatewayFixture.sleep(1_200);
			assertThat(sendRead(host, "r1")).startsWith("HTTP/1.1 200");
			GatewayTests.this.fixture.writeDesiredState("a-new-key");
			GatewayTests.this.fixture.store().setUnavailable(false);
			GatewayFixture.await(() -> sendRead(host, "r2").startsWith("HTTP/1.1 401"));
			assertThat(GatewayTests.this.fixture.logLines()).anyMatch((line) -> line.contains("store-lost"))
				.anyMatch((line) -> line.contains("store-regained"));
		}

		@Test
		void aTargetWhoseEntryExpiredIsKeptUntilItCanRegisterAgain() throws IOException {
			StandInServer server = GatewayTests.this.fixture.startTarget("i-1", GatewayTests.this::respond);
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			GatewayTests.this.fixture.store().setUnavailable(true);
			GatewayFixture.sleep(1_200);
			GatewayTests.this.fixture.store().remove("servers", "i-1");
			GatewayTests.this.fixture.store().setUnavailable(false);
			GatewayFixture.await(() -> GatewayTests.this.fixture.logLines()
				.stream()
				.anyMatch((line) -> line.contains("target-gone")));
			assertThat(sendRead(host, "r1")).startsWith("HTTP/1.1 200");
			GatewayTests.this.fixture.listTarget("i-1", server.port(), "ready");
			GatewayFixture.sleep(2_200);
			assertThat(sendRead(host, "r2")).startsWith("HTTP/1.1 200");
		}

	}

	/**
	 * Guards against a starting host that refuses callers while it reads the store for
	 * the first time, which lasted half a second after all processes had been killed.
	 */
	@Nested
	class Startup {

		@Test
		void aRequestWaitsForTheFirstReadOfTheStore() throws Exception {
			GatewayTests.this.fixture.startTarget("i-1", GatewayTests.this::respond);
			GatewayFixture.Host host = GatewayTests.this.fixture.startHost("a1");
			assertThat(sendRead(host, "early")).startsWith("HTTP/1.1 200");
		}

		/**
		 * Guards against a host that starts while the store is unavailable and refuses
		 * all requests until the store returns, although its peers have the tables.
		 */
		@Test
		void aHostCopiesTheTablesFromAPeerWhileTheStoreIsUnavailable() throws IOException {
			GatewayTests.this.fixture.startTarget("i-1", GatewayTests.this::respond);
			GatewayTests.this.fixture.startReadyHost("a1");
			GatewayFixture.Host second = GatewayTests.this.fixture.startReadyHost("a2");
			GatewayFixture.sleep(1_200);
			GatewayTests.this.fixture.store().setUnavailable(true);
			GatewayFixture.Host restarted = GatewayTests.this.fixture.killAndRestartHost("a2", second);
			GatewayFixture.await(() -> sendRead(restarted, "r").startsWith("HTTP/1.1 200"));
		}

		@Test
		void aRequestIsRefusedWhenTheStoreStaysUnavailable() throws IOException {
			GatewayTests.this.fixture.store().setUnavailable(true);
			GatewayFixture.Host host = GatewayTests.this.fixture.startHost("a1");
			long startNanos = System.nanoTime();
			assertThat(sendRead(host, "early")).startsWith("HTTP/1.1 503").containsIgnoringCase("retry-after");
			assertThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(1_000);
		}

	}

	@Nested
	class SeveralHosts {

		/**
		 * Guards against every host reading the store itself at and after its start. Each
		 * call to the store and each byte to another region is billed.
		 */
		@Test
		void oneHostReadsTheStoreForAll() throws IOException {
			GatewayTests.this.fixture.startTarget("i-1", GatewayTests.this::respond);
			GatewayFixture.Host first = GatewayTests.this.fixture.startReadyHost("a1");
			int tableReadsBefore = GatewayTests.this.fixture.store().callCount("/rows-get");
			GatewayFixture.Host second = GatewayTests.this.fixture.startReadyHost("a2");
			assertThat(GatewayTests.this.fixture.store().callCount("/rows-get") - tableReadsBefore)
				.as("table reads by the second host: only the list of hosts")
				.isEqualTo(1);
			GatewayFixture.sleep(1_200);
			assertThat(GatewayTests.this.fixture.logLines()).noneMatch((line) -> line.startsWith("a2 read-duty"));
			int before = GatewayTests.this.fixture.store().callCount("/rows-feed");
			GatewayTests.this.fixture.writeDesiredState("a-new-key");
			GatewayFixture.await(() -> sendRead(second, "r").startsWith("HTTP/1.1 401"));
			GatewayFixture.await(() -> sendRead(first, "r").startsWith("HTTP/1.1 401"));
			assertThat(GatewayTests.this.fixture.store().callCount("/rows-feed") - before).isLessThanOrEqualTo(4);
		}

		@Test
		void theDirectoryListsTheLiveHosts() throws IOException {
			GatewayTests.this.fixture.startTarget("i-1", GatewayTests.this::respond);
			GatewayFixture.Host first = GatewayTests.this.fixture.startReadyHost("a1");
			GatewayFixture.Host second = GatewayTests.this.fixture.startReadyHost("a2");
			String directoryRequest = "GET /resolve?name=jobs.example&region=r&zone=a HTTP/1.1\r\nHost: x\r\n\r\n";
			GatewayFixture.await(() -> {
				String response = GatewayFixture.sendRequest(first.directoryPort(), directoryRequest);
				return response.contains("127.0.0.1:" + first.port())
						&& response.contains("127.0.0.1:" + second.port());
			});
		}

	}

	@Nested
	class Shutdown {

		@Test
		void aRequestThatArrivesTooLateToCompleteIsRefused() throws IOException {
			GatewayTests.this.fixture.startTarget("i-1", GatewayTests.this::respond);
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			Thread shutdownThread = new Thread(host.shutdown()::stop);
			shutdownThread.start();
			GatewayFixture.await(() -> sendRead(host, "r").startsWith("HTTP/1.1 503"));
			int before = GatewayTests.this.receivedRequests.size();
			assertThat(sendRead(host, "late")).startsWith("HTTP/1.1 503").containsIgnoringCase("connection: close");
			assertThat(GatewayTests.this.receivedRequests).hasSize(before);
		}

		@Test
		void anInFlightRequestIsAnsweredWhileTheHostIsNotReady() throws Exception {
			CountDownLatch attemptStarted = new CountDownLatch(1);
			GatewayTests.this.fixture.startTarget("i-1", (exchange) -> {
				attemptStarted.countDown();
				exchange.waitWhileConnected(1_000);
				respond(exchange);
			});
			GatewayFixture.Host host = GatewayTests.this.fixture.startReadyHost("a1");
			String[] response = new String[1];
			Thread caller = new Thread(() -> response[0] = sendRead(host, "r1"));
			caller.start();
			assertThat(attemptStarted.await(2, TimeUnit.SECONDS)).isTrue();
			Thread shutdownThread = new Thread(host.shutdown()::stop);
			shutdownThread.start();
			GatewayFixture
				.await(() -> GatewayFixture.sendRequest(host.readyPort(), "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
					.startsWith("HTTP/1.1 503"));
			caller.join();
			assertThat(response[0]).startsWith("HTTP/1.1 200").containsIgnoringCase("connection: close");
			assertThat(sendRead(host, "r2")).as("requests during the announcement of the shutdown")
				.startsWith("HTTP/1.1 200");
			shutdownThread.join();
			assertThat(Map.of("runs", GatewayTests.this.receivedRequests.size())).containsEntry("runs", 2);
		}

	}

}
