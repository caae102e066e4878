package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.standins.http.ServerExchange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against pipelined requests whose times add up, that run twice, or whose
 * responses are mixed up.
 */
class PipelinedRequestsTests extends AbstractGatewayTests {

	/** How long a request whose id begins with "slow" runs at a target. */
	private static final int SLOW_MILLIS = 500;

	private final List<String> events = new CopyOnWriteArrayList<>();

	private GatewayFixture.Host host;

	@BeforeEach
	void prepare() throws IOException {
		for (String id : List.of("i-1", "i-2", "i-3")) {
			this.fixture.startTarget(id, this::respond);
		}
		this.host = this.fixture.startReadyHost("a1");
	}

	private void respond(ServerExchange exchange) throws IOException {
		String id = String.valueOf(exchange.request().header("X-Plantainspur-Attempt-Id"));
		this.events.add("begin " + id);
		boolean connected = exchange.waitWhileConnected(id.startsWith("slow") ? SLOW_MILLIS : 0);
		this.events.add((connected ? "end " : "cancelled ") + id);
		exchange.respond(GatewayFixture.signedResponse(id, "for " + id));
	}

	private Socket send(String... requests) throws IOException {
		Socket socket = new Socket("127.0.0.1", this.host.port());
		socket.setSoTimeout(5_000);
		socket.getOutputStream().write(String.join("", requests).getBytes(StandardCharsets.ISO_8859_1));
		return socket;
	}

	private static String read(String id) {
		return GatewayFixture.requestText("GET", "/read/1", id, "");
	}

	private static String book(String id) {
		return GatewayFixture.requestText("POST", "/book/1", id, "Content-Length: 0\r\n");
	}

	private static String response(Socket socket) throws IOException {
		return GatewayFixture.readResponse(socket.getInputStream());
	}

	@Nested
	class IdempotentRequests {

		@Test
		void runSideBySideAndAreAnsweredInOrder() throws IOException {
			long startNanos = System.nanoTime();
			try (Socket socket = send(read("slow-1"), read("r2"), read("slow-3"))) {
				assertThat(response(socket)).startsWith("HTTP/1.1 200").endsWith("for slow-1");
				assertThat(response(socket)).startsWith("HTTP/1.1 200").endsWith("for r2");
				assertThat(response(socket)).startsWith("HTTP/1.1 200").endsWith("for slow-3");
			}
			assertThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(2 * SLOW_MILLIS);
			assertThat(PipelinedRequestsTests.this.events).containsSubsequence("end r2", "end slow-1");
		}

		@Test
		void moreRequestsThanTheLimitAreAllAnswered() throws IOException {
			String[] requests = new String[30];
			for (int i = 0; i < requests.length; i++) {
				requests[i] = read("r" + i);
			}
			try (Socket socket = send(requests)) {
				for (int i = 0; i < requests.length; i++) {
					assertThat(response(socket)).startsWith("HTTP/1.1 200").endsWith("for r" + i);
				}
			}
		}

		@Test
		void allAreCancelledWhenTheCallerLeaves() throws IOException {
			send(read("slow-1"), read("slow-2")).close();
			GatewayFixture.await(() -> PipelinedRequestsTests.this.events.contains("cancelled slow-1")
					&& PipelinedRequestsTests.this.events.contains("cancelled slow-2"));
		}

	}

	/**
	 * A request behind a response that closes the connection is sent again by its caller,
	 * whatever its route, so it must not have reached a target.
	 */
	@Nested
	class RequestsThatMustNotRunTwice {

		@Test
		void aNonIdempotentRequestWaitsForTheResponsesBeforeIt() throws IOException {
			try (Socket socket = send(read("slow-1"), book("b2"))) {
				assertThat(response(socket)).endsWith("for slow-1");
				assertThat(response(socket)).endsWith("for b2");
			}
			assertThat(PipelinedRequestsTests.this.events).containsExactly("begin slow-1", "end slow-1", "begin b2",
					"end b2");
		}

		@Test
		void nothingBehindAClosingResponseReachesATarget() throws Exception {
			String closing = read("slow-1").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
			try (Socket socket = send(closing, read("r2"), book("b3"))) {
				assertThat(response(socket)).endsWith("for slow-1");
				assertThat(socket.getInputStream().read()).isEqualTo(-1);
			}
			GatewayFixture.sleep(200);
			assertThat(PipelinedRequestsTests.this.events).containsExactly("begin slow-1", "end slow-1");
		}

		@Test
		void aStopThatBeginsMeanwhileLeavesTheRequestsBehindUnsent() throws Exception {
			CountDownLatch stopped = new CountDownLatch(1);
			try (Socket socket = send(read("slow-1"), book("b2"))) {
				GatewayFixture.await(() -> PipelinedRequestsTests.this.events.contains("begin slow-1"));
				new Thread(() -> {
					PipelinedRequestsTests.this.host.shutdown().stop();
					stopped.countDown();
				}).start();
				assertThat(response(socket)).endsWith("for slow-1");
				assertThat(response(socket)).startsWith("HTTP/1.1 503").containsIgnoringCase("connection: close");
				assertThat(socket.getInputStream().read()).isEqualTo(-1);
			}
			assertThat(stopped.await(10, TimeUnit.SECONDS)).isTrue();
			assertThat(PipelinedRequestsTests.this.events).doesNotContain("begin b2");
		}

	}

}
