package org.plantainspur.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import org.plantainspur.core.proxy.BufferBudget;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a response whose status is none of HTTP and which reaches the caller, or
 * which the host takes for an interim response and waits for another one.
 */
class StatusLineTests {

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final List<Integer> statuses = new ArrayList<>();

	private final List<String> failures = new ArrayList<>();

	private final ProxyTargetConnection connection = new ProxyTargetConnection("Request-Id", new BufferBudget(1 << 20),
			new ProxyTargetConnection.StateListener() {

				@Override
				public void becameIdle(ProxyTargetConnection idleConnection) {
					// No other request follows.
				}

				@Override
				public void closed(ProxyTargetConnection closed) {
					// No other request follows.
				}

				@Override
				public void receivedUnexpected(ProxyTargetConnection.UnexpectedBytes kind, String requestId) {
					// These tests look at the outcome of the request.
				}

			});

	@AfterEach
	void closeChannel() {
		this.channel.finishAndReleaseAll();
	}

	private void receive(String statusLine) {
		this.connection.addTo(this.channel.pipeline());
		this.connection.send(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), "r1",
				new RecordingListener());
		String response = statusLine + "\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n";
		this.channel.writeInbound(Unpooled.copiedBuffer(response, StandardCharsets.ISO_8859_1));
	}

	private void assertFailed() {
		assertThat(this.statuses).isEmpty();
		assertThat(this.failures).hasSize(1);
		assertThat(this.channel.isOpen()).isFalse();
	}

	static Stream<String> codes(int from, int to) {
		return IntStream.range(from, to).mapToObj("%03d"::formatted);
	}

	static Stream<String> finalCodes() {
		return codes(200, 600);
	}

	static Stream<String> interimCodes() {
		return Stream.of("100", "102", "103");
	}

	static Stream<String> invalidCodes() {
		return Stream
			.of(codes(0, 100), Stream.of("101"), codes(104, 200), codes(600, 1_000),
					Stream.of("+20", "-20", "2x0", "abc", "20", "2", "2000", "0200", "00200", "20.0", "٢٠٠"))
			.flatMap((codes) -> codes);
	}

	@Nested
	class Code {

		@ParameterizedTest
		@MethodSource("org.plantainspur.gateway.http.StatusLineTests#finalCodes")
		void ofAFinalResponseIsPassedOn(String code) {
			receive("HTTP/1.1 " + code + " -");
			assertThat(StatusLineTests.this.statuses).containsExactly(Integer.valueOf(code));
		}

		@ParameterizedTest
		@MethodSource("org.plantainspur.gateway.http.StatusLineTests#interimCodes")
		void ofAnInterimResponseIsSkipped(String code) {
			receive("HTTP/1.1 " + code + " -");
			assertThat(StatusLineTests.this.statuses).isEmpty();
			assertThat(StatusLineTests.this.failures).isEmpty();
			assertThat(StatusLineTests.this.channel.isOpen()).isTrue();
		}

		@ParameterizedTest
		@MethodSource("org.plantainspur.gateway.http.StatusLineTests#invalidCodes")
		void thatIsNoneOfHttpFailsTheAttempt(String code) {
			receive("HTTP/1.1 " + code + " OK");
			assertFailed();
		}

		@ParameterizedTest
		@MethodSource("org.plantainspur.gateway.http.StatusLineTests#invalidCodes")
		void thatIsNoneOfHttpFailsTheAttemptWithoutAReason(String code) {
			receive("HTTP/1.1 " + code);
			assertFailed();
		}

	}

	@Nested
	class Line {

		static Stream<String> malformedLines() {
			return Stream.of("HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1  OK", "HTTP/1.1 OK 200", "HTTP/1.x 200 OK",
					"HTTP/1.12 200 OK", "HTTP/2.0 200 OK", "HTTP/1.1200 OK");
		}

		@ParameterizedTest
		@MethodSource
		void malformedLines(String line) {
			receive(line);
			assertFailed();
		}

		static Stream<String> validLines() {
			return Stream.of("HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 200 two words");
		}

		@ParameterizedTest
		@MethodSource
		void validLines(String line) {
			receive(line);
			assertThat(StatusLineTests.this.statuses).containsExactly(200);
		}

	}

	private final class RecordingListener implements ProxyTargetConnection.ResponseListener {

		@Override
		public void responseReceived(HttpResponse response, ByteBuf body) {
			body.release();
			StatusLineTests.this.statuses.add(response.status().code());
		}

		@Override
		public void failed(String reason) {
			StatusLineTests.this.failures.add(reason);
		}

		@Override
		public void connectionLost(String reason) {
			StatusLineTests.this.failures.add(reason);
		}

	}

}
