package org.plantainspur.adapters.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.plantainspur.core.request.CallerRequest;
import org.plantainspur.core.request.DispatchOutcome;
import org.plantainspur.core.request.Headers;
import org.plantainspur.core.routing.Target;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a dispatch outcome that reports a request as not sent, or as answered,
 * when that is not certain. The targets listen on real sockets.
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

	private static void answerEveryRequest(ScriptedTarget.TargetSideConnection connection) throws IOException {
		while (true) {
			connection.readRequestHead();
			connection.write(OK);
		}
	}

	@Nested
	class Connection {

		@Test
		void refusedGivesNotSent() throws Exception {
			int port;
			try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
				port = unused.getLocalPort();
			}
			assertThat(dispatch("127.0.0.1:" + port, false, 2000)).isInstanceOf(DispatchOutcome.NotSent.class);
		}

		// A reset before the first byte may arrive before the connect has returned.
		@Test
		void closedBeforeTheWholeRequestIsReadGivesUnknown() throws Exception {
			assertUnknown(dispatch((connection) -> {
				connection.read();
				connection.reset();
			}, 2000), DispatchOutcome.Unknown.Cause.RESET);
		}

		@Test
		void closedAfterTheRequestIsReadGivesUnknown() throws Exception {
			assertUnknown(dispatch((connection) -> {
				connection.readRequestHead();
				connection.close();
			}, 2000), DispatchOutcome.Unknown.Cause.RESET);
		}

		@Test
		void closedByTheTargetWhilePooledIsReplaced() throws Exception {
			CountDownLatch closed = new CountDownLatch(1);
			try (ScriptedTarget target = new ScriptedTarget((connection) -> {
				connection.readRequestHead();
				connection.write(OK);
				if (connection.number() == 1) {
					connection.close();
					closed.countDown();
				}
			})) {
				assertThat(dispatch(target.address(), true, 2000)).isInstanceOf(DispatchOutcome.Answered.class);
				assertThat(closed.await(2, TimeUnit.SECONDS)).isTrue();
				assertThat(dispatch(target.address(), false, 2000)).isInstanceOf(DispatchOutcome.Answered.class);
				assertThat(target.connections()).isEqualTo(2);
			}
		}

		/** Guards against a status that is none of HTTP and reaches the caller. */
		@ParameterizedTest
		@ValueSource(strings = { "000", "099", "600", "999", "0200", "+20" })
		void withAnInvalidStatusGivesUnknown(String code) throws Exception {
			DispatchOutcome outcome = dispatch((connection) -> {
				connection.readRequestHead();
				connection.write("HTTP/1.1 " + code + " -\r\nContent-Length: 2\r\n\r\nok");
				connection.close();
			}, 2000);
			assertThat(outcome).isInstanceOf(DispatchOutcome.Unknown.class);
		}

		/**
		 * Guards against an unsolicited response that is taken as the answer to the next
		 * request.
		 */
		@Test
		void withAnUnsolicitedResponseIsReplaced() throws Exception {
			CountDownLatch written = new CountDownLatch(1);
			try (ScriptedTarget target = new ScriptedTarget((connection) -> {
				connection.readRequestHead();
				connection.write(OK);
				if (connection.number() == 1) {
					Thread.sleep(100);
					connection.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
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
		 * Guards against an unsolicited response that arrives in the same TCP segment as
		 * the expected one. The client has then already read it when it checks the
		 * connection.
		 */
		@Test
		void withTwoResponsesInOneSegmentIsReplaced() throws Exception {
			try (ScriptedTarget target = new ScriptedTarget((connection) -> {
				connection.readRequestHead();
				connection.write(
						OK + ((connection.number() == 1) ? "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray" : ""));
				Thread.sleep(1000);
			})) {
				dispatch(target.address(), true, 2000);
				assertAnsweredOk(dispatch(target.address(), true, 2000));
			}
		}

		@Test
		void isReusedAfterACompleteResponse() throws Exception {
			try (ScriptedTarget target = new ScriptedTarget(HttpClientTargetDispatcherTests::answerEveryRequest)) {
				dispatch(target.address(), false, 2000);
				dispatch(target.address(), true, 2000);
				dispatch(target.address(), false, 2000);
				assertThat(target.connections()).isEqualTo(1);
			}
		}

		@Test
		void isNotReusedAfterATimeout() throws Exception {
			try (ScriptedTarget target = new ScriptedTarget((connection) -> {
				connection.readRequestHead();
				if (connection.number() == 1) {
					Thread.sleep(400);
					connection.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
				}
				connection.write(OK);
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
		void limitIsTheTargetsLimitDividedAmongMembers() throws Exception {
			CountDownLatch mayAnswer = new CountDownLatch(1);
			try (ScriptedTarget target = new ScriptedTarget((connection) -> {
				connection.readRequestHead();
				mayAnswer.await();
				connection.write(OK);
				answerEveryRequest(connection);
			})) {
				Target limitedTarget = target(target.address(), 7);
				CompletableFuture<?>[] pending = new CompletableFuture<?>[6];
				for (int i = 0; i < pending.length; i++) {
					pending[i] = CompletableFuture.supplyAsync(() -> HttpClientTargetDispatcherTests.this.dispatcher
						.dispatch(limitedTarget, request("GET", new byte[0]), true, 5000));
				}
				// The requests may start late on a busy machine.
				long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(2);
				while (target.connections() < 3 && System.nanoTime() < end) {
					Thread.sleep(10);
				}
				Thread.sleep(300);
				assertThat(target.connections()).isEqualTo(3);
				assertThat(HttpClientTargetDispatcherTests.this.dispatcher.dispatch(limitedTarget,
						request("GET", new byte[0]), true, 200))
					.isInstanceOf(DispatchOutcome.NotSent.class);
				mayAnswer.countDown();
				CompletableFuture.allOf(pending).get(5, TimeUnit.SECONDS);
				assertThat(target.connections()).isEqualTo(3);
			}
		}

		@Test
		void limitIsNeverBelowOne() {
			assertThat(new TargetConnectionPool(() -> 40).limit(target("127.0.0.1:1", 8))).isEqualTo(1);
		}

	}

	@Nested
	class TargetResponse {

		@Test
		void truncatedBeforeItsContentLengthIsUnknown() throws Exception {
			assertUnknown(dispatch((connection) -> {
				connection.readRequestHead();
				connection.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart");
				connection.close();
			}, 2000), DispatchOutcome.Unknown.Cause.RESET);
		}

		@Test
		void thatIsTruncatedReportsTheBytesReceived() throws Exception {
			DispatchOutcome outcome = dispatch((connection) -> {
				connection.readRequestHead();
				connection.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart");
				connection.close();
			}, 2000);
			assertThat(outcome).isInstanceOfSatisfying(DispatchOutcome.Unknown.class,
					(unknown) -> assertThat(unknown.receivedBytes()).isEqualTo(4));
		}

		@Test
		void truncatedWithinAChunkIsUnknown() throws Exception {
			assertUnknown(dispatch((connection) -> {
				connection.readRequestHead();
				connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
				connection.close();
			}, 2000), DispatchOutcome.Unknown.Cause.RESET);
		}

		@Test
		void withoutContentLengthOrChunksIsUnknown() throws Exception {
			assertUnknown(dispatch((connection) -> {
				connection.readRequestHead();
				connection.write("HTTP/1.1 200 OK\r\n\r\npart");
				connection.close();
			}, 2000), DispatchOutcome.Unknown.Cause.RESET);
		}

		@Test
		void inCompleteChunksIsPassedOn() throws Exception {
			DispatchOutcome outcome = dispatch((connection) -> {
				connection.readRequestHead();
				connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n");
			}, 2000);
			assertThat(outcome).isInstanceOfSatisfying(DispatchOutcome.Answered.class,
					(answered) -> assertThat(answered.body()).asString().isEqualTo("part"));
		}

		@Test
		void thatArrivesByteByByteEndsAtTheDeadline() throws Exception {
			long started = System.nanoTime();
			assertUnknown(dispatch((connection) -> {
				connection.readRequestHead();
				connection.write("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n");
				for (int i = 0; i < 1000; i++) {
					connection.write("x");
					Thread.sleep(50);
				}
			}, 300), DispatchOutcome.Unknown.Cause.TIMEOUT);
			assertThat(System.nanoTime() - started).isLessThan(TimeUnit.MILLISECONDS.toNanos(1500));
		}

		@Test
		void beyondTheSizeLimitIsUnknownAndNotReadFurther() throws Exception {
			long started = System.nanoTime();
			assertUnknown(dispatch((connection) -> {
				connection.readRequestHead();
				connection.write("HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n");
				String block = "x".repeat(1024 * 1024);
				for (int i = 0; i < 953; i++) {
					connection.write(block);
				}
			}, 10_000), DispatchOutcome.Unknown.Cause.TOO_LARGE);
			assertThat(System.nanoTime() - started).isLessThan(TimeUnit.SECONDS.toNanos(5));
		}

		@Test
		void withTheNotRunHeaderIsARefusal() throws Exception {
			DispatchOutcome outcome = dispatch((connection) -> {
				connection.readRequestHead();
				connection.write("HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nX-Target-State: draining\r\n"
						+ "Content-Length: 0\r\n\r\n");
			}, 2000);
			assertThat(outcome).isEqualTo(new DispatchOutcome.RefusedByTarget(true));
		}

		@Test
		void ofStatus503WithoutTheNotRunHeaderIsAnAnswer() throws Exception {
			DispatchOutcome outcome = dispatch((connection) -> {
				connection.readRequestHead();
				connection.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
			}, 2000);
			assertThat(outcome).isInstanceOfSatisfying(DispatchOutcome.Answered.class,
					(answered) -> assertThat(answered.status()).isEqualTo(503));
		}

		@Test
		void withARedirectIsPassedOnAndNotFollowed() throws Exception {
			try (ScriptedTarget target = new ScriptedTarget((connection) -> {
				connection.readRequestHead();
				connection.write("HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n");
				answerEveryRequest(connection);
			})) {
				assertThat(dispatch(target.address(), true, 2000)).isInstanceOfSatisfying(
						DispatchOutcome.Answered.class, (answered) -> assertThat(answered.status()).isEqualTo(302));
				assertThat(target.requests()).hasSize(1);
			}
		}

	}

	/**
	 * Guards against a response that breaks off and is taken for complete: the end of the
	 * connection within a header line, a chunk size or a trailer ends the line, too.
	 */
	@Nested
	class BrokenOffResponse {

		@ParameterizedTest
		@EnumSource
		void isUnknownWhenTheTargetClosesTheConnection(ResponseForm form) throws Exception {
			assertUnknownAtEveryByte(form, ScriptedTarget.TargetSideConnection::close);
		}

		@ParameterizedTest
		@EnumSource
		void isUnknownWhenTheTargetResetsTheConnection(ResponseForm form) throws Exception {
			assertUnknownAtEveryByte(form, ScriptedTarget.TargetSideConnection::reset);
		}

		private void assertUnknownAtEveryByte(ResponseForm form, ConnectionEnd end) throws Exception {
			for (String text : List.of(form.text, form.textWithConnectionClose())) {
				AtomicInteger length = new AtomicInteger();
				List<String> accepted = new ArrayList<>();
				try (ScriptedTarget target = new ScriptedTarget((connection) -> {
					connection.readRequestHead();
					connection.write(text.substring(0, length.get()));
					end.end(connection);
				})) {
					for (; length.get() < text.length(); length.incrementAndGet()) {
						DispatchOutcome outcome = dispatch(target.address(), false, 2000);
						if (!(outcome instanceof DispatchOutcome.Unknown)) {
							accepted.add(length + " bytes: " + outcome);
						}
					}
				}
				assertThat(accepted).as("outcomes of the beginning of %s", text).isEmpty();
			}
		}

	}

	/**
	 * Guards against bytes behind a response that are taken for the response to the next
	 * request on the connection, or for the beginning of its head.
	 */
	@Nested
	class SecondCopy {

		private static final String FAILURE = "HTTP/1.1 500 Failed\r\nContent-Length: 6\r\n\r\nfailed";

		@ParameterizedTest
		@EnumSource
		void whichComesWithTheResponseDoesNotChangeTheNextOne(ResponseForm form) throws Exception {
			List<String> foreign = new ArrayList<>();
			for (int length = 1; length <= form.text.length(); length++) {
				String bytes = form.text + form.text.substring(0, length);
				try (ScriptedTarget target = new ScriptedTarget((connection) -> {
					connection.readRequestHead();
					connection.write((connection.number() == 1) ? bytes : FAILURE);
					connection.readRequestHead();
					connection.write(FAILURE);
				})) {
					dispatch(target.address(), false, 2000);
					addIfForeign(foreign, length, dispatch(target.address(), false, 2000));
				}
			}
			assertThat(foreign).as("outcomes of a request whose response was a failure").isEmpty();
		}

		@ParameterizedTest
		@EnumSource
		void whosePartComesAfterTheNextRequestDoesNotChangeItsResponse(ResponseForm form) throws Exception {
			List<String> foreign = new ArrayList<>();
			for (int length = 1; length < form.headLength(); length++) {
				String part = form.text.substring(0, length);
				try (ScriptedTarget target = new ScriptedTarget((connection) -> {
					connection.readRequestHead();
					connection.write(form.text);
					connection.readRequestHead();
					connection.write(part + FAILURE);
					connection.close();
				})) {
					dispatch(target.address(), false, 2000);
					addIfForeign(foreign, length, dispatch(target.address(), false, 2000));
				}
			}
			assertThat(foreign).as("outcomes of a request whose response was a failure").isEmpty();
		}

		// An outcome that says that it does not know what happened is right, too.
		private void addIfForeign(List<String> foreign, int length, DispatchOutcome outcome) {
			boolean own = outcome instanceof DispatchOutcome.Answered answered && answered.status() == 500;
			if (!own && !(outcome instanceof DispatchOutcome.Unknown)) {
				foreign.add(length + " bytes: " + outcome);
			}
		}

	}

	/** A complete response of a target. */
	enum ResponseForm {

		BODY_OF_DECLARED_LENGTH("HTTP/1.1 200 OK\r\nX-Name: value\r\nContent-Length: 10\r\n\r\n0123456789"),

		CHUNKED_BODY("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n04\r\npart\r\n06\r\nsecond\r\n"
				+ "0\r\nX-Trailer: value\r\n\r\n"),

		EMPTY_BODY("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Name: value\r\n\r\n"),

		NO_BODY("HTTP/1.1 204 No Content\r\nX-Name: value\r\n\r\n"),

		DECLINE("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nX-Not-Run: true\r\nX-Target-State: draining\r\n\r\n");

		private final String text;

		ResponseForm(String text) {
			this.text = text;
		}

		String textWithConnectionClose() {
			return this.text.replaceFirst("\r\n", "\r\nConnection: close\r\n");
		}

		int headLength() {
			return this.text.indexOf("\r\n\r\n") + 4;
		}

	}

	private interface ConnectionEnd {

		void end(ScriptedTarget.TargetSideConnection connection) throws IOException;

	}

	@Nested
	class Request {

		@Test
		void isSentOnceWithItsRawPathAndWithoutExpectContinue() throws Exception {
			try (ScriptedTarget target = new ScriptedTarget(HttpClientTargetDispatcherTests::answerEveryRequest)) {
				CallerRequest unusualRequest = new CallerRequest("POST", "/a%2Fb/{x}|y", "q=a|b%zz", Headers.empty(),
						"0123456789".getBytes(), "", 0);
				HttpClientTargetDispatcherTests.this.dispatcher.dispatch(target(target.address(), 40), unusualRequest,
						false, 2000);
				assertThat(target.requests()).hasSize(1);
				assertThat(target.requests().get(0)).startsWith("POST /a%2Fb/{x}|y?q=a|b%zz HTTP/1.1\r\n")
					.doesNotContainIgnoringCase("expect")
					.doesNotContainIgnoringCase("user-agent");
			}
		}

	}

}
