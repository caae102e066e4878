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

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.standins.http.Request;
import org.plantainspur.standins.http.Response;
import org.plantainspur.standins.http.ServerExchange;
import org.plantainspur.standins.http.StandInServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Whole entry hosts on the stand-in of the users' platform, against the failures of
 * targets, callers and the store.
 */
class GatewayTests {

	private GatewayFixture fixture;

	private final List<Request> runs = new CopyOnWriteArrayList<>();

	@BeforeEach
	void open() throws IOException {
		this.fixture = new GatewayFixture();
	}

	@AfterEach
	void close() throws Exception {
		this.fixture.close();
	}

	private void answer(ServerExchange exchange) throws IOException {
		this.runs.add(exchange.request());
		exchange.respond(GatewayFixture.ok(id(exchange), "done"));
	}

	private static String id(ServerExchange exchange) {
		return String.valueOf(exchange.request().header("X-Plantainspur-Attempt-Id"));
	}

	private String read(GatewayFixture.Host host, String id) {
		return GatewayFixture.call(host.port(), GatewayFixture.request("GET", "/read/1?q=2", id, ""));
	}

	private String book(GatewayFixture.Host host, String id) {
		return GatewayFixture.call(host.port(),
				GatewayFixture.request("POST", "/book/1", id, "Content-Length: 2\r\n") + "{}");
	}

	@Nested
	class Forwarding {

		@Test
		void aRequestReachesTheTargetForItsAccountWithoutItsKey() throws IOException {
			GatewayTests.this.fixture.target("i-1", GatewayTests.this::answer);
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			String answer = GatewayFixture.call(host.port(), GatewayFixture.request("GET", "/read/1?q=2", "r1",
					"X-Plantainspur-Tenant-Id: other\r\nX-Other: kept\r\nConnection: X-Hop\r\nX-Hop: no\r\n"));
			assertThat(answer).startsWith("HTTP/1.1 200").contains("X-Plantainspur-Response-Signature: signed");
			assertThat(answer).endsWith("done");
			Request request = GatewayTests.this.runs.get(0);
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
			GatewayTests.this.fixture.target("i-1", GatewayTests.this::answer);
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			assertThat(GatewayFixture.call(host.port(), GatewayFixture.request("GET", "/none/", "r", "")))
				.startsWith("HTTP/1.1 404");
			String stranger = GatewayFixture.request("GET", "/read/1", "r", "").replace(GatewayFixture.KEY, "stranger");
			assertThat(GatewayFixture.call(host.port(), stranger)).startsWith("HTTP/1.1 401");
			assertThat(GatewayTests.this.runs).isEmpty();
		}

		@Test
		void aRequestWithBothLengthAndChunksIsRefused() throws IOException {
			GatewayTests.this.fixture.target("i-1", GatewayTests.this::answer);
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			String answer = GatewayFixture.call(host.port(),
					GatewayFixture.request("POST", "/book/1", "r",
							"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n")
							+ "0\r\n\r\nGET /read/2 HTTP/1.1\r\n\r\n");
			assertThat(answer).startsWith("HTTP/1.1 400");
			assertThat(GatewayTests.this.runs).isEmpty();
		}

	}

	@Nested
	class Limits {

		@Test
		void headersAndBodiesAboveTheLimitsAreRefused() throws IOException {
			GatewayTests.this.fixture.target("i-1", GatewayTests.this::answer);
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			String headers = GatewayFixture.request("GET", "/read/1", "r1", "X-Long: " + "x".repeat(20_000) + "\r\n");
			assertThat(GatewayFixture.call(host.port(), headers)).startsWith("HTTP/1.1 431");
			String body = GatewayFixture.request("POST", "/book/1", "r2", "Content-Length: 70000\r\n");
			assertThat(GatewayFixture.call(host.port(), body)).startsWith("HTTP/1.1 413");
			assertThat(GatewayTests.this.runs).isEmpty();
		}

		@Test
		void aMalformedRequestLineIsRefused() throws IOException {
			GatewayTests.this.fixture.target("i-1", GatewayTests.this::answer);
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			assertThat(GatewayFixture.call(host.port(), "GET\r\n\r\n")).startsWith("HTTP/1.1 400");
			assertThat(GatewayFixture.call(host.port(), "GET http://jobs.example/read/1 HTTP/1.1\r\n\r\n"))
				.startsWith("HTTP/1.1 400");
		}

	}

	@Nested
	class AtMostOnce {

		@Test
		void aRequestThatMayHaveRunIsNotSentAgain() throws IOException {
			AtomicInteger begun = new AtomicInteger();
			for (String id : List.of("i-1", "i-2")) {
				GatewayTests.this.fixture.target(id, (exchange) -> {
					begun.incrementAndGet();
					exchange.reset();
				});
			}
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			assertThat(book(host, "r1")).startsWith("HTTP/1.1 502");
			assertThat(begun).hasValue(1);
		}

		@Test
		void aRequestThatATargetDeclinedGoesToAnother() throws IOException {
			AtomicInteger asked = new AtomicInteger();
			for (String id : List.of("i-1", "i-2")) {
				GatewayTests.this.fixture.target(id, (exchange) -> {
					if (asked.getAndIncrement() == 0) {
						exchange.respond(Response.text(503, "")
							.withHeader("X-Plantainspur-Not-Executed", "1")
							.withHeader("X-Plantainspur-Attempt-Id", id(exchange)));
					}
					else {
						answer(exchange);
					}
				});
			}
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			assertThat(book(host, "r1")).startsWith("HTTP/1.1 200");
			assertThat(asked).hasValue(2);
		}

		@Test
		void aTargetsRefusalWithoutAStatementIsNotPassedOnAsOne() throws IOException {
			GatewayTests.this.fixture.target("i-1", (exchange) -> exchange
				.respond(Response.text(503, "busy").withHeader("X-Plantainspur-Attempt-Id", id(exchange))));
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			assertThat(book(host, "r1")).startsWith("HTTP/1.1 502");
		}

		@Test
		void aRequestThatMayHaveRunIsNotRefusedAsOneThatHasNot() throws IOException {
			AtomicInteger asked = new AtomicInteger();
			for (String id : List.of("i-1", "i-2")) {
				GatewayTests.this.fixture.target(id, (exchange) -> {
					if (asked.getAndIncrement() == 0) {
						exchange.reset();
					}
					else {
						exchange.respond(Response.text(503, "")
							.withHeader("X-Plantainspur-Not-Executed", "1")
							.withHeader("X-Plantainspur-Attempt-Id", id(exchange)));
					}
				});
			}
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			assertThat(read(host, "r1")).startsWith("HTTP/1.1 502");
		}

		@Test
		void anIdempotentRequestIsSentAgain() throws IOException {
			AtomicInteger asked = new AtomicInteger();
			for (String id : List.of("i-1", "i-2")) {
				GatewayTests.this.fixture.target(id, (exchange) -> {
					if (asked.getAndIncrement() == 0) {
						exchange.reset();
					}
					else {
						answer(exchange);
					}
				});
			}
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			assertThat(read(host, "r1")).startsWith("HTTP/1.1 200");
		}

	}

	@Nested
	class WholeAnswers {

		@Test
		void anAnswerToAnotherRequestIsNotDelivered() throws IOException {
			GatewayTests.this.fixture.target("i-1",
					(exchange) -> exchange.respond(GatewayFixture.ok("another", "not yours")));
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			assertThat(book(host, "r1")).startsWith("HTTP/1.1 504").doesNotContain("not yours");
		}

		@Test
		void anAnswerThatBreaksOffIsReplacedByAFailure() throws IOException {
			GatewayTests.this.fixture.target("i-1",
					(exchange) -> exchange.truncate(GatewayFixture.ok(id(exchange), "a long answer")));
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			assertThat(book(host, "r1")).startsWith("HTTP/1.1 502").doesNotContain("a long");
		}

		@Test
		void anAnswerWithoutASignatureIsNoSuccess() throws IOException {
			GatewayTests.this.fixture.target("i-1", (exchange) -> exchange
				.respond(Response.text(200, "forged").withHeader("X-Plantainspur-Attempt-Id", id(exchange))));
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			assertThat(book(host, "r1")).startsWith("HTTP/1.1 502").doesNotContain("forged");
		}

	}

	@Nested
	class Callers {

		@Test
		void idempotentWorkEndsWhenItsCallerLeaves() throws Exception {
			CountDownLatch began = new CountDownLatch(1);
			CountDownLatch left = new CountDownLatch(1);
			GatewayTests.this.fixture.target("i-1", (exchange) -> {
				began.countDown();
				if (!exchange.waitWhileConnected(2_000)) {
					left.countDown();
				}
			});
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			try (Socket socket = new Socket("127.0.0.1", host.port())) {
				socket.getOutputStream()
					.write(GatewayFixture.request("GET", "/read/1", "r", "").getBytes(StandardCharsets.ISO_8859_1));
				assertThat(began.await(2, TimeUnit.SECONDS)).isTrue();
			}
			assertThat(left.await(500, TimeUnit.MILLISECONDS)).isTrue();
		}

		@Test
		void aCallerThatLeavesIsNotCountedTwice() throws Exception {
			CountDownLatch began = new CountDownLatch(1);
			CountDownLatch ended = new CountDownLatch(1);
			GatewayTests.this.fixture.target("i-1", (exchange) -> {
				began.countDown();
				exchange.waitWhileConnected(200);
				answer(exchange);
				ended.countDown();
			});
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			try (Socket socket = new Socket("127.0.0.1", host.port())) {
				String request = GatewayFixture.request("POST", "/book/1", "r", "Content-Length: 0\r\n");
				socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
				assertThat(began.await(2, TimeUnit.SECONDS)).isTrue();
			}
			assertThat(ended.await(2, TimeUnit.SECONDS)).as("non-idempotent work is left to end").isTrue();
			GatewayFixture.await(() -> GatewayTests.this.fixture.log()
				.stream()
				.anyMatch((line) -> line.startsWith("a1 request") && line.contains("route, book")));
			Thread stop = new Thread(host.stop()::stop);
			stop.start();
			GatewayFixture.await(
					() -> GatewayTests.this.fixture.log().stream().anyMatch((line) -> line.startsWith("a1 stopping")));
			assertThat(GatewayTests.this.fixture.log()).contains("a1 stopping [openRequests, 0]");
			stop.join();
		}

		@Test
		void requestsOfOneConnectionAreAnsweredInTurn() throws IOException {
			GatewayTests.this.fixture.target("i-1", (exchange) -> {
				exchange.waitWhileConnected(id(exchange).equals("r1") ? 100 : 0);
				answer(exchange);
			});
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			try (Socket socket = new Socket("127.0.0.1", host.port())) {
				String both = GatewayFixture.request("GET", "/read/1", "r1", "")
						+ GatewayFixture.request("GET", "/read/2", "r2", "");
				socket.getOutputStream().write(both.getBytes(StandardCharsets.ISO_8859_1));
				assertThat(GatewayFixture.read(socket.getInputStream())).contains("Attempt-Id: r1");
				assertThat(GatewayFixture.read(socket.getInputStream())).contains("Attempt-Id: r2");
			}
		}

	}

	@Nested
	class Changes {

		@Test
		void aWithdrawnKeyStopsWorking() throws IOException {
			GatewayTests.this.fixture.target("i-1", GatewayTests.this::answer);
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			assertThat(read(host, "r1")).startsWith("HTTP/1.1 200");
			GatewayTests.this.fixture.desire("a-new-key");
			GatewayFixture.await(() -> read(host, "r2").startsWith("HTTP/1.1 401"));
		}

		@Test
		void aLeavingTargetGetsNoNewWork() throws IOException {
			AtomicInteger leaving = new AtomicInteger();
			StandInServer server = GatewayTests.this.fixture.target("i-1", (exchange) -> {
				leaving.incrementAndGet();
				answer(exchange);
			});
			GatewayTests.this.fixture.target("i-2", GatewayTests.this::answer);
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			GatewayTests.this.fixture.list("i-1", server.port(), "draining");
			GatewayFixture.await(() -> GatewayTests.this.fixture.log()
				.stream()
				.anyMatch((line) -> line.contains("i-1") && line.contains("leaving, true")));
			int before = leaving.get();
			for (int i = 0; i < 10; i++) {
				assertThat(read(host, "r" + i)).startsWith("HTTP/1.1 200");
			}
			assertThat(leaving).hasValue(before);
		}

		@Test
		void aChangeDuringASilentFeedIsInForceWhenTheHistoryIsGone() throws IOException {
			GatewayTests.this.fixture.target("i-1", GatewayTests.this::answer);
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			GatewayTests.this.fixture.store().setFeedSilent(true);
			GatewayTests.this.fixture.desire("a-new-key");
			GatewayFixture.pause(300);
			GatewayTests.this.fixture.store().setFeedSilent(false);
			GatewayFixture.await(() -> read(host, "r2").startsWith("HTTP/1.1 401"));
		}

	}

	@Nested
	class SilentTargets {

		@Test
		void aTargetThatHoldsARequestGetsNoFurtherOnesMeanwhile() throws Exception {
			AtomicReference<String> holder = new AtomicReference<>("");
			for (String id : List.of("i-1", "i-2")) {
				GatewayTests.this.fixture.target(id, (exchange) -> {
					if (id(exchange).startsWith("slow")) {
						holder.set(id);
						exchange.waitWhileConnected(5_000);
					}
					answer(exchange);
				});
			}
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			for (int i = 0; i < 10; i++) {
				assertThat(book(host, "r" + i)).startsWith("HTTP/1.1 200");
			}
			Thread caller = new Thread(() -> book(host, "slow"));
			caller.start();
			GatewayFixture.await(() -> !holder.get().isEmpty());
			GatewayFixture.pause(600);
			for (int i = 0; i < 10; i++) {
				book(host, "after" + i);
			}
			caller.join();
			assertThat(GatewayTests.this.runs.stream()
				.filter((run) -> String.valueOf(run.header("X-Plantainspur-Attempt-Id")).startsWith("after"))
				.map((run) -> run.header("X-Plantainspur-Expect-Instance"))).doesNotContain(holder.get());
		}

	}

	@Nested
	class StoreAway {

		@Test
		void requestsAreServedAndChangesFollowItsReturn() throws IOException {
			GatewayTests.this.fixture.target("i-1", GatewayTests.this::answer);
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			GatewayTests.this.fixture.store().setUnavailable(true);
			GatewayFixture.pause(1_200);
			assertThat(read(host, "r1")).startsWith("HTTP/1.1 200");
			GatewayTests.this.fixture.desire("a-new-key");
			GatewayTests.this.fixture.store().setUnavailable(false);
			GatewayFixture.await(() -> read(host, "r2").startsWith("HTTP/1.1 401"));
			assertThat(GatewayTests.this.fixture.log()).anyMatch((line) -> line.contains("store-lost"))
				.anyMatch((line) -> line.contains("store-regained"));
		}

		@Test
		void anEntryThatLapsedMeanwhileIsKeptUntilItCanBeBack() throws IOException {
			StandInServer server = GatewayTests.this.fixture.target("i-1", GatewayTests.this::answer);
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			GatewayTests.this.fixture.store().setUnavailable(true);
			GatewayFixture.pause(1_200);
			GatewayTests.this.fixture.store().remove("servers", "i-1");
			GatewayTests.this.fixture.store().setUnavailable(false);
			GatewayFixture
				.await(() -> GatewayTests.this.fixture.log().stream().anyMatch((line) -> line.contains("target-gone")));
			assertThat(read(host, "r1")).startsWith("HTTP/1.1 200");
			GatewayTests.this.fixture.list("i-1", server.port(), "ready");
			GatewayFixture.pause(2_200);
			assertThat(read(host, "r2")).startsWith("HTTP/1.1 200");
		}

	}

	/**
	 * After all processes were killed, callers came back while the store was being read,
	 * and were refused for half a second.
	 */
	@Nested
	class Starting {

		@Test
		void aRequestWaitsForTheFirstReadOfTheStore() throws Exception {
			GatewayTests.this.fixture.target("i-1", GatewayTests.this::answer);
			GatewayFixture.Host host = GatewayTests.this.fixture.start("a1");
			assertThat(read(host, "early")).startsWith("HTTP/1.1 200");
		}

		/**
		 * A host that started while the store was away served nobody until the store was
		 * back, though its neighbours had the tables.
		 */
		@Test
		void aHostTakesTheTablesFromANeighbourWhileTheStoreIsAway() throws IOException {
			GatewayTests.this.fixture.target("i-1", GatewayTests.this::answer);
			GatewayTests.this.fixture.host("a1");
			GatewayFixture.Host second = GatewayTests.this.fixture.host("a2");
			GatewayFixture.pause(1_200);
			GatewayTests.this.fixture.store().setUnavailable(true);
			GatewayFixture.Host again = GatewayTests.this.fixture.restart("a2", second);
			GatewayFixture.await(() -> read(again, "r").startsWith("HTTP/1.1 200"));
		}

		@Test
		void aRequestIsRefusedWhenTheStoreStaysAway() throws IOException {
			GatewayTests.this.fixture.store().setUnavailable(true);
			GatewayFixture.Host host = GatewayTests.this.fixture.start("a1");
			long begun = System.nanoTime();
			assertThat(read(host, "early")).startsWith("HTTP/1.1 503").containsIgnoringCase("retry-after");
			assertThat((System.nanoTime() - begun) / 1_000_000).isLessThan(1_000);
		}

	}

	@Nested
	class SeveralHosts {

		/**
		 * Each host read both tables at its start and went on for a while, and each call
		 * and each byte to another region is billed.
		 */
		@Test
		void oneHostReadsTheStoreForAll() throws IOException {
			GatewayTests.this.fixture.target("i-1", GatewayTests.this::answer);
			GatewayFixture.Host first = GatewayTests.this.fixture.host("a1");
			int wholeReads = GatewayTests.this.fixture.store().callCount("/rows-get");
			GatewayFixture.Host second = GatewayTests.this.fixture.host("a2");
			assertThat(GatewayTests.this.fixture.store().callCount("/rows-get") - wholeReads).as("the list of hosts")
				.isEqualTo(1);
			GatewayFixture.pause(1_200);
			assertThat(GatewayTests.this.fixture.log()).noneMatch((line) -> line.startsWith("a2 read-duty"));
			int before = GatewayTests.this.fixture.store().callCount("/rows-feed");
			GatewayTests.this.fixture.desire("a-new-key");
			GatewayFixture.await(() -> read(second, "r").startsWith("HTTP/1.1 401"));
			GatewayFixture.await(() -> read(first, "r").startsWith("HTTP/1.1 401"));
			assertThat(GatewayTests.this.fixture.store().callCount("/rows-feed") - before).isLessThanOrEqualTo(4);
		}

		@Test
		void theDirectoryNamesTheHostsThatAreAlive() throws IOException {
			GatewayTests.this.fixture.target("i-1", GatewayTests.this::answer);
			GatewayFixture.Host first = GatewayTests.this.fixture.host("a1");
			GatewayFixture.Host second = GatewayTests.this.fixture.host("a2");
			String ask = "GET /resolve?name=jobs.example&region=r&zone=a HTTP/1.1\r\nHost: x\r\n\r\n";
			GatewayFixture.await(() -> {
				String answer = GatewayFixture.call(first.directoryPort(), ask);
				return answer.contains("127.0.0.1:" + first.port()) && answer.contains("127.0.0.1:" + second.port());
			});
		}

	}

	@Nested
	class Stopping {

		@Test
		void aRequestThatComesTooLateToEndIsRefusedInsteadOfCut() throws IOException {
			GatewayTests.this.fixture.target("i-1", GatewayTests.this::answer);
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			Thread stop = new Thread(host.stop()::stop);
			stop.start();
			GatewayFixture.await(() -> read(host, "r").startsWith("HTTP/1.1 503"));
			int before = GatewayTests.this.runs.size();
			assertThat(read(host, "late")).startsWith("HTTP/1.1 503").containsIgnoringCase("connection: close");
			assertThat(GatewayTests.this.runs).hasSize(before);
		}

		@Test
		void anOpenRequestIsAnsweredAndTheHostIsNotReadyMeanwhile() throws Exception {
			CountDownLatch began = new CountDownLatch(1);
			GatewayTests.this.fixture.target("i-1", (exchange) -> {
				began.countDown();
				exchange.waitWhileConnected(1_000);
				answer(exchange);
			});
			GatewayFixture.Host host = GatewayTests.this.fixture.host("a1");
			String[] answer = new String[1];
			Thread caller = new Thread(() -> answer[0] = read(host, "r1"));
			caller.start();
			assertThat(began.await(2, TimeUnit.SECONDS)).isTrue();
			Thread stop = new Thread(host.stop()::stop);
			stop.start();
			GatewayFixture.await(() -> GatewayFixture.call(host.readyPort(), "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
				.startsWith("HTTP/1.1 503"));
			caller.join();
			assertThat(answer[0]).startsWith("HTTP/1.1 200").containsIgnoringCase("connection: close");
			assertThat(read(host, "r2")).as("callers that come late").startsWith("HTTP/1.1 200");
			stop.join();
			assertThat(Map.of("runs", GatewayTests.this.runs.size())).containsEntry("runs", 2);
		}

	}

}
