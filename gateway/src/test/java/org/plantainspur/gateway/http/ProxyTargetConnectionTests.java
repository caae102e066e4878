package org.plantainspur.gateway.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.plantainspur.core.proxy.BufferBudget;

import static org.assertj.core.api.Assertions.assertThat;

class ProxyTargetConnectionTests {

	private final List<EmbeddedChannel> channels = new ArrayList<>();

	@AfterEach
	void closeChannels() {
		this.channels.forEach(EmbeddedChannel::finishAndReleaseAll);
	}

	private TestConnection open() {
		TestConnection connection = new TestConnection();
		this.channels.add(connection.channel);
		return connection;
	}

	private static String answer(String id, String body) {
		return "HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec 2026 17:00:00 GMT\r\nRequest-Id: " + id
				+ "\r\nSignature: signed\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	private static String failure(String id) {
		return answer(id, "failed").replace("200 OK", "500 Internal Server Error");
	}

	private static String decline(String id) {
		return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nLoad: 2,8,2\r\nRequest-Id: " + id
				+ "\r\nContent-Length: 0\r\n\r\n";
	}

	/**
	 * Guards against a response that is merged with the beginning of a second copy of an
	 * earlier one: its status and headers would be taken for those of the next response,
	 * and a request that has run would be sent to another target.
	 */
	@Nested
	class PartsOfASecondCopy {

		@ParameterizedTest
		@EnumSource
		void whichComeWithTheResponseCloseTheConnection(Earlier earlier) {
			String response = earlier.response("r1");
			for (int length = 1; length <= response.length(); length++) {
				TestConnection connection = open();
				Outcome first = connection.send("r1");
				connection.receive(response + response.substring(0, length));
				assertThat(first.status).as("the response itself").isEqualTo(earlier.status);
				assertThat(connection.channel.isOpen()).as("after %d bytes of a copy", length).isFalse();
			}
		}

		@ParameterizedTest
		@EnumSource
		void whichComeAfterTheNextRequestDoNotChangeItsResponse(Earlier earlier) {
			String copy = earlier.response("r1");
			String next = (earlier == Earlier.ANSWER) ? failure("r2") : answer("r2", "done");
			int nextStatus = (earlier == Earlier.ANSWER) ? 500 : 200;
			for (int length = 1; length <= copy.length(); length++) {
				TestConnection connection = open();
				connection.send("r1");
				connection.receive(copy);
				Outcome second = connection.send("r2");
				connection.receive(copy.substring(0, length));
				connection.receive(next);
				connection.channel.close();
				boolean own = second.status == nextStatus && "r2".equals(second.requestId) && !second.notRun;
				assertThat(own || second.failed).as("%d bytes of a copy, then the response: %s", length, second)
					.isTrue();
			}
		}

	}

	/** Guards against a response that breaks off and is taken for complete. */
	@Nested
	class BrokenOffResponse {

		@ParameterizedTest
		@EnumSource
		void failsWhenTheTargetClosesTheConnection(ResponseForm form) {
			assertFailureAtEveryByte(form, (connection) -> connection.channel.close());
		}

		@ParameterizedTest
		@EnumSource
		void failsWhenTheTargetResetsTheConnection(ResponseForm form) {
			assertFailureAtEveryByte(form, (connection) -> {
				connection.channel.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
				connection.channel.close();
			});
		}

		private void assertFailureAtEveryByte(ResponseForm form, Consumer<TestConnection> end) {
			for (String text : List.of(form.text, form.text.replaceFirst("\r\n", "\r\nConnection: close\r\n"))) {
				for (int length = 0; length < text.length(); length++) {
					TestConnection connection = open();
					Outcome outcome = connection.send("r1");
					connection.receive(text.substring(0, length));
					end.accept(connection);
					assertThat(outcome.failed && outcome.status == 0).as("%d bytes of %s: %s", length, text, outcome)
						.isTrue();
					assertThat(connection.idleCount).isZero();
				}
			}
		}

	}

	/**
	 * Guards against a body that runs on into a second copy of its response and reaches
	 * the caller as a success.
	 */
	@Nested
	class ResponsesThatRunOnIntoACopy {

		/**
		 * Guards against a late copy that breaks off within a header's name while the
		 * body of the next response is being sent.
		 */
		@Test
		void beforeTheRestOfTheBodyFollowsAreNotDelivered() {
			String copy = answer("r1", "done");
			int afterFirstHeader = copy.indexOf("Request-Id");
			for (int length = afterFirstHeader + 8; length < copy.length(); length++) {
				TestConnection connection = open();
				connection.send("r1");
				connection.receive(copy);
				Outcome outcome = connection.send("r2");
				String response = answer("r2", "x".repeat(200));
				int middle = response.length() - 100;
				connection
					.receive(response.substring(0, middle) + copy.substring(0, length) + response.substring(middle));
				assertThat(outcome.failed).as("%d bytes of a copy: %s", length, outcome).isTrue();
			}
		}

		@Test
		void afterABreakAnywhereInTheBodyAreNotDelivered() {
			String response = answer("r1", "done".repeat(100));
			int headLength = response.indexOf("\r\n\r\n") + 4;
			for (int length = headLength; length < response.length(); length++) {
				TestConnection connection = open();
				Outcome outcome = connection.send("r1");
				connection.receive(response.substring(0, length));
				connection.receive(response);
				assertThat(outcome.failed).as("%d bytes, then a copy: %s", length, outcome).isTrue();
			}
		}

		@Test
		void beforeTheEndOfTheConnectionAreNotDelivered() {
			String response = answer("r1", "done").replace("Content-Length: 4\r\n", "");
			TestConnection connection = open();
			Outcome outcome = connection.send("r1");
			connection.receive(response + response);
			connection.channel.close();
			assertThat(outcome.failed).as("%s", outcome).isTrue();
		}

		// Less of the copy than its first header cannot be told from the end of a body.
		@Test
		void thatBreaksOffAnywhereAndWithTheConnectionAreNotDelivered() {
			String copy = answer("r1", "done");
			for (int length = "HTTP/1.1 200 OK\r\nD".length(); length < copy.length(); length++) {
				TestConnection connection = open();
				connection.send("r1");
				connection.receive(copy);
				Outcome outcome = connection.send("r2");
				connection.receive(answer("r2", "more").replace("Content-Length: 4\r\n", ""));
				connection.receive(copy.substring(0, length));
				connection.channel.close();
				assertThat(outcome.failed).as("%d bytes of a copy: %s", length, outcome).isTrue();
			}
		}

		@Test
		void beforeTheHeadOfTheCopyHasArrivedAreNotDelivered() {
			String response = answer("r1", "done".repeat(100));
			int bodyEnd = response.length();
			for (int missing = "HTTP/1.1 200 OK\r\nD".length(); missing <= 400; missing++) {
				TestConnection connection = open();
				Outcome outcome = connection.send("r1");
				connection.receive(response.substring(0, bodyEnd - missing) + response.substring(0, missing));
				assertThat(outcome.failed).as("%d bytes of a copy: %s", missing, outcome).isTrue();
				assertThat(connection.unexpected).containsExactly("EMBEDDED_RESPONSE r1");
			}
		}

		@Test
		void withinAHeadThatTheBodyQuotesAreNotDelivered() {
			String response = answer("r1", "HTTP/1.1 200 OK\r\nServer: example\r\n\r\n" + "done".repeat(10));
			int brokenOff = response.indexOf("Server:") + "Server:".length();
			TestConnection connection = open();
			Outcome outcome = connection.send("r1");
			connection.receive(response.substring(0, brokenOff) + response.substring(0, 60));
			connection.receive(response.substring(60));
			assertThat(outcome.failed).as("%s", outcome).isTrue();
		}

		@Test
		void areNotConfusedWithBodiesThatEndWithAStatusLine() {
			for (String body : List.of("upstream: HTTP/1.1 404 Not Found\n", "log\nHTTP/1.1 200 OK\nServer: x\n",
					"HTTP/1.1 200")) {
				TestConnection connection = open();
				Outcome outcome = connection.send("r1");
				connection.receive(answer("r1", body).replaceFirst("Content-Length: \\d+\r\n", ""));
				connection.channel.close();
				assertThat(outcome.status).as(body).isEqualTo(200);
			}
		}

		@Test
		void areNotConfusedWithResponsesThatOtherBytesFollow() {
			for (String other : List.of("garbage", "\r\n", "x")) {
				TestConnection connection = open();
				connection.send("r1");
				connection.receive(answer("r1", "done"));
				Outcome outcome = connection.send("r2");
				connection.receive(answer("r2", "see HTTP/1.1 200 OK\nfor more\n") + other);
				assertThat(outcome.status).as(other).isEqualTo(200);
				assertThat(connection.channel.isOpen()).as("open after " + other).isFalse();
			}
		}

		@Test
		void areNotConfusedWithBodiesThatMentionHttp() {
			for (String body : List.of("HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\nRequest-Id: r7\r\n\r\n",
					"HTTP/1.1 200 OK\r\n\r\nRequest-Id: r1\r\n", "Request-Id: r1\r\nHTTP/1.1 200 OK\r\n")) {
				TestConnection connection = open();
				Outcome outcome = connection.send("r1");
				connection.receive(answer("r1", body) + answer("r1", body));
				assertThat(outcome.status).as(body).isEqualTo(200);
			}
		}

	}

	/**
	 * Guards against requests that wait until their deadline for no possible response.
	 */
	@Nested
	class RequestsFailAtOnce {

		@Test
		void afterMalformedChunksOfAResponseToAnotherRequest() {
			assertFailsAfter("HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nTransfer-Encoding: chunked\r\n\r\nno size\r\n");
		}

		@Test
		void afterAnotherResponseThatLastsUntilTheEndOfTheConnection() {
			assertFailsAfter("HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n\r\n");
		}

		@Test
		void afterBytesThatBeginNoResponseAndHaveNoLineEnd() {
			assertFailsAfter("garbage");
			assertFailsAfter("\r\n HTTP/2");
		}

		private void assertFailsAfter(String bytes) {
			TestConnection connection = open();
			Outcome outcome = connection.send("r1");
			connection.receive(bytes);
			assertThat(outcome.failed).as(bytes).isTrue();
		}

	}

	/** Guards against bytes that close a connection, or are skipped, without a trace. */
	@Nested
	class Reports {

		@Test
		void nameTheBytesThatBelongToNoAwaitedResponse() {
			TestConnection connection = open();
			connection.send("r1");
			connection.receive(answer("r1", "done"));
			connection.send("r2");
			connection.receive(answer("r1", "done"));
			connection.receive(answer("r2", "done") + "HTTP/1.1 2");
			assertThat(connection.unexpected).containsExactly("OTHER_RESPONSE r2", "BEHIND_RESPONSE r2");
		}

		@Test
		void nameTheBytesThatArriveWhileTheConnectionIsIdle() {
			TestConnection connection = open();
			connection.send("r1");
			connection.receive(answer("r1", "done"));
			connection.receive("HTTP/1.1 2");
			assertThat(connection.unexpected).containsExactly("WHILE_IDLE r1");
			assertThat(connection.channel.isOpen()).isFalse();
		}

	}

	/** Guards against a new connection for each request. */
	@Nested
	class Reuse {

		@Test
		void aConnectionIsUsedAgainAfterACompleteResponse() {
			TestConnection connection = open();
			for (int i = 0; i < 3; i++) {
				Outcome outcome = connection.send("r" + i);
				connection.receive(answer("r" + i, "done"));
				assertThat(outcome.status).isEqualTo(200);
				assertThat(connection.idleCount).isEqualTo(i + 1);
			}
		}

		/**
		 * Guards against a late copy of a response that answers a repetition of its
		 * request, after any number of other requests.
		 */
		@Test
		void aConnectionKnowsAllRequestsThatItHasCarried() {
			TestConnection connection = open();
			int carried = 0;
			while (connection.channel.isOpen()) {
				connection.send("r" + carried);
				connection.receive(decline("r" + carried));
				carried++;
			}
			assertThat(carried).isEqualTo(ProxyTargetConnection.MAX_CARRIED_REQUESTS);
			for (int i = 0; i < carried; i++) {
				assertThat(connection.connection.hasCarried("r" + i)).isTrue();
			}
			assertThat(connection.connection.hasCarried("another")).isFalse();
		}

		@Test
		void theResponseToAHeadRequestHasNoBody() {
			TestConnection connection = open();
			Outcome outcome = connection.send(HttpMethod.HEAD, "r1");
			connection.receive(answer("r1", "done").replace("\r\n\r\ndone", "\r\n\r\n"));
			assertThat(outcome.status).isEqualTo(200);
			assertThat(connection.idleCount).isEqualTo(1);
		}

	}

	/** The response that a target sends before it sends parts of a second copy. */
	enum Earlier {

		ANSWER(200), DECLINE(503);

		private final int status;

		Earlier(int status) {
			this.status = status;
		}

		String response(String id) {
			return (this == ANSWER) ? answer(id, "done") : decline(id);
		}

	}

	/** A complete response to the request r1. */
	enum ResponseForm {

		BODY_OF_DECLARED_LENGTH(answer("r1", "0123456789")),

		CHUNKED_BODY(answer("r1", "").replace("Content-Length: 0", "Transfer-Encoding: chunked")
				+ "04\r\npart\r\n06\r\nsecond\r\n0\r\nX-Trailer: value\r\n\r\n"),

		EMPTY_BODY(answer("r1", "")),

		NO_BODY("HTTP/1.1 204 No Content\r\nRequest-Id: r1\r\nSignature: signed\r\n\r\n"),

		DECLINE(decline("r1"));

		private final String text;

		ResponseForm(String text) {
			this.text = text;
		}

	}

	/** A connection whose target is the test. */
	private static final class TestConnection implements ProxyTargetConnection.StateListener {

		private final ProxyTargetConnection connection = new ProxyTargetConnection("Request-Id",
				new BufferBudget(1 << 20), this);

		private final EmbeddedChannel channel = new EmbeddedChannel();

		private final List<String> unexpected = new ArrayList<>();

		private int idleCount;

		private TestConnection() {
			this.connection.addTo(this.channel.pipeline());
		}

		Outcome send(String id) {
			return send(HttpMethod.POST, id);
		}

		Outcome send(HttpMethod method, String id) {
			Outcome outcome = new Outcome();
			this.connection.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"), id, outcome);
			return outcome;
		}

		void receive(String bytes) {
			if (this.channel.isOpen()) {
				this.channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
			}
		}

		@Override
		public void becameIdle(ProxyTargetConnection idleConnection) {
			this.idleCount++;
		}

		@Override
		public void receivedUnexpected(ProxyTargetConnection.UnexpectedBytes kind, String requestId) {
			this.unexpected.add(kind + " " + requestId);
		}

		@Override
		public void closed(ProxyTargetConnection closedConnection) {
		}

	}

	/** How a request ended. */
	private static final class Outcome implements ProxyTargetConnection.ResponseListener {

		private int status;

		private String requestId = "";

		private boolean notRun;

		private boolean failed;

		@Override
		public void responseReceived(HttpResponse response, ByteBuf body) {
			body.release();
			this.status = response.status().code();
			this.requestId = response.headers().get("Request-Id", "");
			this.notRun = response.headers().contains("Not-Run");
		}

		@Override
		public void failed(String reason) {
			this.failed = true;
		}

		@Override
		public void connectionLost(String reason) {
			this.failed = true;
		}

		@Override
		public String toString() {
			return this.failed ? "failed" : this.status + " for " + this.requestId + ", not run: " + this.notRun;
		}

	}

}
