package org.plantainspur.adapters.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.plantainspur.core.request.CallerRequest;
import org.plantainspur.core.request.DispatchOutcome;
import org.plantainspur.core.request.Headers;
import org.plantainspur.core.routing.Target;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against outcomes that claim more or less than what is known, over real sockets.
 */
@Timeout(20)
class HttpClientTargetDispatcherTests {

	private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

	private final HttpClientTargetDispatcher dispatcher = new HttpClientTargetDispatcher(() -> 2);

	@AfterEach
	void close() throws IOException {
		this.dispatcher.close();
	}

	private static Target target(String address, int connections) {
		return new Target("booking-1", "booking", address, "pdx", "pdx-a", 4, connections, false);
	}

	private DispatchOutcome dispatch(String address, boolean idempotent, long timeoutMillis) {
		return this.dispatcher.dispatch(target(address, 40), request("GET", new byte[0]), idempotent, timeoutMillis);
	}

	private static CallerRequest request(String method, byte[] body) {
		return new CallerRequest(method, "/booking/17", "day=2", Headers.empty().with("X-Client-Account", "a"), body,
				"", 0);
	}

	private DispatchOutcome dispatch(ScriptedTarget.Script script, long timeoutMillis) throws IOException {
		try (ScriptedTarget target = new ScriptedTarget(script)) {
			return dispatch(target.address(), false, timeoutMillis);
		}
	}

	private static void assertUnknown(DispatchOutcome outcome, DispatchOutcome.Unknown.Cause cause) {
		assertThat(outcome).isInstanceOfSatisfying(DispatchOutcome.Unknown.class,
				(unknown) -> assertThat(unknown.cause()).isEqualTo(cause));
	}

	private static void assertAnsweredOk(DispatchOutcome outcome) {
		assertThat(outcome).isInstanceOfSatisfying(DispatchOutcome.Answered.class,
				(answered) -> assertThat(answered.body()).asString().isEqualTo("ok"));
	}

	private static void answerAll(ScriptedTarget.Exchange exchange) throws IOException {
		while (true) {
			exchange.readHead();
			exchange.write(OK);
		}
	}

	@Nested
	class Connection {

		@Test
		void thatIsRefusedIsNotSent() throws Exception {
			int port;
			try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
				port = unused.getLocalPort();
			}
			assertThat(dispatch("127.0.0.1:" + port, false, 2000)).isInstanceOf(DispatchOutcome.NotSent.class);
		}

		@Test
		void thatIsClosedBeforeTheRequestIsReadIsUnknown() throws Exception {
			assertUnknown(dispatch(ScriptedTarget.Exchange::reset, 2000), DispatchOutcome.Unknown.Cause.RESET);
		}

		@Test
		void thatIsClosedAfterTheRequestWasReadIsUnknown() throws Exception {
			assertUnknown(dispatch((exchange) -> {
				exchange.readHead();
				exchange.close();
			}, 2000), DispatchOutcome.Unknown.Cause.RESET);
		}

		@Test
		void thatTheTargetClosedWhileItWasPooledIsReplaced() throws Exception {
			CountDownLatch closed = new CountDownLatch(1);
			try (ScriptedTarget target = new ScriptedTarget((exchange) -> {
				exchange.readHead();
				exchange.write(OK);
				if (exchange.number() == 1) {
					exchange.close();
					closed.countDown();
				}
			})) {
				assertThat(dispatch(target.address(), true, 2000)).isInstanceOf(DispatchOutcome.Answered.class);
				assertThat(closed.await(2, TimeUnit.SECONDS)).isTrue();
				assertThat(dispatch(target.address(), false, 2000)).isInstanceOf(DispatchOutcome.Answered.class);
				assertThat(target.connections()).isEqualTo(2);
			}
		}

		/**
		 * Guards against an answer that belongs to no request reaching the next caller.
		 */
		@Test
		void thatCarriesASecondAnswerIsReplaced() throws Exception {
			CountDownLatch written = new CountDownLatch(1);
			try (ScriptedTarget target = new ScriptedTarget((exchange) -> {
				exchange.readHead();
				exchange.write(OK);
				if (exchange.number() == 1) {
					Thread.sleep(100);
					exchange.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
					written.countDown();
					Thread.sleep(1000);
				}
			})) {
				dispatch(target.address(), true, 2000);
				assertThat(written.await(2, TimeUnit.SECONDS)).isTrue();
				assertAnsweredOk(dispatch(target.address(), false, 2000));
			}
		}

		/**
		 * Guards against the same fault when both answers arrive in one segment.
		 */
		@Test
		void thatBroughtTwoAnswersAtOnceIsReplaced() throws Exception {
			try (ScriptedTarget target = new ScriptedTarget((exchange) -> {
				exchange.readHead();
				exchange
					.write(OK + ((exchange.number() == 1) ? "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray" : ""));
				Thread.sleep(1000);
			})) {
				dispatch(target.address(), true, 2000);
				assertAnsweredOk(dispatch(target.address(), true, 2000));
			}
		}

		@Test
		void isUsedAgainAfterAWholeAnswer() throws Exception {
			try (ScriptedTarget target = new ScriptedTarget(HttpClientTargetDispatcherTests::answerAll)) {
				dispatch(target.address(), false, 2000);
				dispatch(target.address(), true, 2000);
				dispatch(target.address(), false, 2000);
				assertThat(target.connections()).isEqualTo(1);
			}
		}

		@Test
		void isNotUsedAgainAfterATimeout() throws Exception {
			try (ScriptedTarget target = new ScriptedTarget((exchange) -> {
				exchange.readHead();
				if (exchange.number() == 1) {
					Thread.sleep(400);
					exchange.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
				}
				exchange.write(OK);
			})) {
				assertUnknown(dispatch(target.address(), true, 200), DispatchOutcome.Unknown.Cause.TIMEOUT);
				Thread.sleep(400);
				assertThat(dispatch(target.address(), true, 2000)).isInstanceOfSatisfying(
						DispatchOutcome.Answered.class,
						(answered) -> assertThat(answered.body()).asString().isEqualTo("ok"));
				assertThat(target.connections()).isEqualTo(2);
			}
		}

		@Test
		void countIsTheTargetsLimitDividedAmongMembers() throws Exception {
			CountDownLatch release = new CountDownLatch(1);
			try (ScriptedTarget target = new ScriptedTarget((exchange) -> {
				exchange.readHead();
				release.await();
				exchange.write(OK);
				answerAll(exchange);
			})) {
				Target three = target(target.address(), 7);
				CompletableFuture<?>[] running = new CompletableFuture<?>[6];
				for (int i = 0; i < running.length; i++) {
					running[i] = CompletableFuture.supplyAsync(() -> HttpClientTargetDispatcherTests.this.dispatcher
						.dispatch(three, request("GET", new byte[0]), true, 5000));
				}
				Thread.sleep(300);
				assertThat(target.connections()).isEqualTo(3);
				assertThat(HttpClientTargetDispatcherTests.this.dispatcher.dispatch(three, request("GET", new byte[0]),
						true, 200))
					.isInstanceOf(DispatchOutcome.NotSent.class);
				release.countDown();
				CompletableFuture.allOf(running).get(5, TimeUnit.SECONDS);
				assertThat(target.connections()).isEqualTo(3);
			}
		}

		@Test
		void countIsNeverBelowOne() {
			assertThat(new TargetConnections(() -> 40).limit(target("127.0.0.1:1", 8))).isEqualTo(1);
		}

	}

	@Nested
	class Answer {

		@Test
		void withALengthThatIsCutIsUnknown() throws Exception {
			assertUnknown(dispatch((exchange) -> {
				exchange.readHead();
				exchange.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart");
				exchange.close();
			}, 2000), DispatchOutcome.Unknown.Cause.RESET);
		}

		@Test
		void thatIsCutNamesTheBytesThatArrivedSoThatTheyAreCounted() throws Exception {
			DispatchOutcome outcome = dispatch((exchange) -> {
				exchange.readHead();
				exchange.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart");
				exchange.close();
			}, 2000);
			assertThat(outcome).isInstanceOfSatisfying(DispatchOutcome.Unknown.class,
					(unknown) -> assertThat(unknown.receivedBytes()).isEqualTo(4));
		}

		@Test
		void inChunksThatIsCutIsUnknown() throws Exception {
			assertUnknown(dispatch((exchange) -> {
				exchange.readHead();
				exchange.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
				exchange.close();
			}, 2000), DispatchOutcome.Unknown.Cause.RESET);
		}

		@Test
		void withoutAnEndIsUnknown() throws Exception {
			assertUnknown(dispatch((exchange) -> {
				exchange.readHead();
				exchange.write("HTTP/1.1 200 OK\r\n\r\npart");
				exchange.close();
			}, 2000), DispatchOutcome.Unknown.Cause.RESET);
		}

		@Test
		void inWholeChunksIsPassedOn() throws Exception {
			DispatchOutcome outcome = dispatch((exchange) -> {
				exchange.readHead();
				exchange.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n");
			}, 2000);
			assertThat(outcome).isInstanceOfSatisfying(DispatchOutcome.Answered.class,
					(answered) -> assertThat(answered.body()).asString().isEqualTo("part"));
		}

		@Test
		void thatComesByteByByteIsCutAtTheDeadline() throws Exception {
			long started = System.nanoTime();
			assertUnknown(dispatch((exchange) -> {
				exchange.readHead();
				exchange.write("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n");
				for (int i = 0; i < 1000; i++) {
					exchange.write("x");
					Thread.sleep(50);
				}
			}, 300), DispatchOutcome.Unknown.Cause.TIMEOUT);
			assertThat(System.nanoTime() - started).isLessThan(TimeUnit.MILLISECONDS.toNanos(1500));
		}

		@Test
		void beyondTheLimitIsUnknownAndNotReadOn() throws Exception {
			long started = System.nanoTime();
			assertUnknown(dispatch((exchange) -> {
				exchange.readHead();
				exchange.write("HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n");
				String block = "x".repeat(1024 * 1024);
				for (int i = 0; i < 953; i++) {
					exchange.write(block);
				}
			}, 10_000), DispatchOutcome.Unknown.Cause.TOO_LARGE);
			assertThat(System.nanoTime() - started).isLessThan(TimeUnit.SECONDS.toNanos(5));
		}

		@Test
		void thatSaysNotRunIsARefusal() throws Exception {
			DispatchOutcome outcome = dispatch((exchange) -> {
				exchange.readHead();
				exchange.write("HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nX-Target-State: draining\r\n"
						+ "Content-Length: 0\r\n\r\n");
			}, 2000);
			assertThat(outcome).isEqualTo(new DispatchOutcome.RefusedByTarget(true));
		}

		@Test
		void ofStatus503WithoutNotRunIsAnAnswer() throws Exception {
			DispatchOutcome outcome = dispatch((exchange) -> {
				exchange.readHead();
				exchange.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
			}, 2000);
			assertThat(outcome).isInstanceOfSatisfying(DispatchOutcome.Answered.class,
					(answered) -> assertThat(answered.status()).isEqualTo(503));
		}

		@Test
		void thatRedirectsIsPassedOnAndNotFollowed() throws Exception {
			try (ScriptedTarget target = new ScriptedTarget((exchange) -> {
				exchange.readHead();
				exchange.write("HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n");
				answerAll(exchange);
			})) {
				assertThat(dispatch(target.address(), true, 2000)).isInstanceOfSatisfying(
						DispatchOutcome.Answered.class, (answered) -> assertThat(answered.status()).isEqualTo(302));
				assertThat(target.requests()).hasSize(1);
			}
		}

	}

	@Nested
	class Request {

		@Test
		void isSentOnceWithItsRawPathAndWithoutExpectContinue() throws Exception {
			try (ScriptedTarget target = new ScriptedTarget(HttpClientTargetDispatcherTests::answerAll)) {
				CallerRequest odd = new CallerRequest("POST", "/a%2Fb/{x}|y", "q=a|b%zz", Headers.empty(),
						"0123456789".getBytes(), "", 0);
				HttpClientTargetDispatcherTests.this.dispatcher.dispatch(target(target.address(), 40), odd, false,
						2000);
				assertThat(target.requests()).hasSize(1);
				assertThat(target.requests().get(0)).startsWith("POST /a%2Fb/{x}|y?q=a|b%zz HTTP/1.1\r\n")
					.doesNotContainIgnoringCase("expect")
					.doesNotContainIgnoringCase("user-agent");
			}
		}

	}

}
