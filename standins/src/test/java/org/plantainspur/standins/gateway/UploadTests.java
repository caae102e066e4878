package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.standins.http.Response;
import org.plantainspur.standins.http.ServerExchange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against long request bodies that run twice, are passed on with more time than
 * their callers wait, or use up the memory of the host.
 */
class UploadTests extends AbstractGatewayTests {

	private static final int BODY_BYTES = 1 << 20;

	@BeforeEach
	void prepare() throws IOException {
		this.fixture.writeDesiredStateWithMaxBody(4 << 20);
	}

	private static String attemptId(ServerExchange exchange) {
		return String.valueOf(exchange.request().header("X-Plantainspur-Attempt-Id"));
	}

	private static String head(String id, int length) {
		return GatewayFixture.requestText("POST", "/book/1", id, "Content-Length: " + length + "\r\n");
	}

	private static String upload(int port, String id) {
		return GatewayFixture.sendRequest(port, head(id, BODY_BYTES) + "x".repeat(BODY_BYTES));
	}

	@Nested
	class Bodies {

		@Test
		void aDeclinedUploadReachesAnotherTargetWhole() throws IOException {
			AtomicInteger attempts = new AtomicInteger();
			List<Integer> lengths = new CopyOnWriteArrayList<>();
			for (String id : List.of("i-1", "i-2")) {
				UploadTests.this.fixture.startTarget(id, (exchange) -> {
					if (attempts.getAndIncrement() == 0) {
						exchange.respond(Response.text(503, "")
							.withHeader("X-Plantainspur-Not-Executed", "1")
							.withHeader("X-Plantainspur-Attempt-Id", attemptId(exchange)));
						return;
					}
					lengths.add(exchange.request().body().length);
					exchange.respond(GatewayFixture.signedResponse(attemptId(exchange), "done"));
				});
			}
			GatewayFixture.Host host = UploadTests.this.fixture.startReadyHost("a1");
			assertThat(upload(host.port(), "u1")).startsWith("HTTP/1.1 200");
			assertThat(lengths).containsExactly(BODY_BYTES);
		}

		/**
		 * The target keeps the connection and reads the rest of the body later. Another
		 * request on that connection would be read as a part of the body.
		 */
		@Test
		void aTargetThatAnswersEarlyGetsNothingElseOnThatConnection() throws IOException {
			AtomicInteger connections = new AtomicInteger();
			UploadTests.this.fixture.startRawTarget("i-1", (connection) -> {
				connections.incrementAndGet();
				String id = connection.readRequestId();
				connection.write("HTTP/1.1 200 OK\r\nX-Plantainspur-Attempt-Id: " + id
						+ "\r\nX-Plantainspur-Response-Signature: signed\r\nContent-Length: 0\r\n\r\n");
				GatewayFixture.sleep(1_000);
			});
			GatewayFixture.Host host = UploadTests.this.fixture.startReadyHost("a1");
			String manyBytes = head("u1", 4 << 20) + "x".repeat(4 << 20);
			assertThat(GatewayFixture.sendRequest(host.port(), manyBytes)).startsWith("HTTP/1.1 200");
			assertThat(GatewayFixture.sendRequest(host.port(), head("b2", 0))).startsWith("HTTP/1.1 200");
			assertThat(connections).hasValue(2);
		}

	}

	@Nested
	class SlowCallers {

		private static final int BODY_MILLIS = 1_200;

		/**
		 * A target may get up to half a second more than is left to the caller, as the
		 * host cannot know when the caller sent the head of its request.
		 */
		@Test
		void theTimeThatTheBodyTookIsNotGivenToTheTarget() throws IOException {
			List<Integer> deadlines = new CopyOnWriteArrayList<>();
			UploadTests.this.fixture.startTarget("i-1", (exchange) -> {
				deadlines.add(Integer.parseInt(exchange.request().header("X-Plantainspur-Deadline-Ms")));
				exchange.respond(GatewayFixture.signedResponse(attemptId(exchange), "done"));
			});
			GatewayFixture.Host host = UploadTests.this.fixture.startReadyHost("a1");
			try (Socket socket = new Socket("127.0.0.1", host.port())) {
				OutputStream output = socket.getOutputStream();
				output.write(head("u1", 2).getBytes(StandardCharsets.ISO_8859_1));
				output.write('x');
				GatewayFixture.sleep(BODY_MILLIS);
				output.write('x');
				assertThat(GatewayFixture.readResponse(socket.getInputStream())).startsWith("HTTP/1.1 200");
			}
			assertThat(deadlines).singleElement()
				.satisfies((ms) -> assertThat(ms).isBetween(1, 2_000 - BODY_MILLIS + 500));
		}

		@Test
		void anUploadWhoseCallerLeavesReachesNoTarget() throws IOException {
			AtomicInteger requests = new AtomicInteger();
			UploadTests.this.fixture.startTarget("i-1", (exchange) -> {
				requests.incrementAndGet();
				exchange.respond(GatewayFixture.signedResponse(attemptId(exchange), "done"));
			});
			GatewayFixture.Host host = UploadTests.this.fixture.startReadyHost("a1");
			try (Socket socket = new Socket("127.0.0.1", host.port())) {
				socket.getOutputStream().write((head("u1", 10) + "x").getBytes(StandardCharsets.ISO_8859_1));
			}
			assertThat(GatewayFixture.sendRequest(host.port(), head("b2", 0))).startsWith("HTTP/1.1 200");
			assertThat(requests).hasValue(1);
		}

	}

	@Nested
	class ManyUploads {

		@Test
		void aHostWithLittleMemoryRefusesWhatItCannotHold() throws Exception {
			UploadTests.this.fixture.startTarget("i-1", (exchange) -> {
				exchange.waitWhileConnected(100);
				exchange.respond(GatewayFixture.signedResponse(attemptId(exchange), "done"));
			});
			GatewayFixture.HostProcess host = UploadTests.this.fixture.startReadyHostProcess("a1");
			List<String> responses = new CopyOnWriteArrayList<>();
			List<Thread> callers = new ArrayList<>();
			for (int i = 0; i < 60; i++) {
				String id = "u" + i;
				Thread thread = new Thread(() -> responses.add(upload(host.port(), id)));
				thread.start();
				callers.add(thread);
			}
			for (Thread caller : callers) {
				caller.join();
			}
			assertThat(host.process().isAlive()).isTrue();
			assertThat(Files.readString(host.log())).doesNotContain("OutOfMemoryError");
			assertThat(responses).anyMatch((response) -> response.startsWith("HTTP/1.1 200"));
			GatewayFixture.await(() -> upload(host.port(), "last-" + System.nanoTime()).startsWith("HTTP/1.1 200"));
		}

	}

}
