package org.plantainspur.host;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.plantainspur.core.request.CallerRequest;
import org.plantainspur.core.request.Headers;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against refusals that are not problem documents, a caller's key that reaches a
 * target, and an account that exceeds its limits. Requests are written to sockets as
 * text, so that they can be malformed.
 */
@Timeout(60)
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class CallerProtocolTests {

	private static final String KEYED = "Host: x\r\nX-Api-Key: " + RunningHost.KEY + "\r\n";

	private static final String CLOSE = "Connection: close\r\n\r\n";

	private final List<CallerRequest> dispatched = new CopyOnWriteArrayList<>();

	private final Semaphore slowRequestsMayEnd = new Semaphore(0);

	private RunningHost host;

	@BeforeAll
	void start() throws Exception {
		this.host = new RunningHost((target, request, idempotent, timeout) -> {
			this.dispatched.add(request);
			if (request.path().equals("/booking/slow")) {
				this.slowRequestsMayEnd.acquireUninterruptibly();
			}
			if (request.path().equals("/booking/fault")) {
				throw new IllegalStateException("thrown by the dispatcher of the test");
			}
			return RunningHost.ok();
		}, "--account-requests", "3", "--account-connections", "20", "--caller-data-rate", "2000");
	}

	@AfterAll
	void stop() throws Exception {
		this.slowRequestsMayEnd.release(100);
		this.host.close();
	}

	private static void assertProblem(String answer, int status, String code, String run) throws IOException {
		assertThat(answer).startsWith("HTTP/1.1 " + status + " ").containsIgnoringCase("application/problem+json");
		JsonNode document = new ObjectMapper().readTree(answer.substring(answer.indexOf("\r\n\r\n")));
		assertThat(document.path("code").asText()).isEqualTo(code);
		assertThat(document.path("run").asText()).isEqualTo(run);
		assertThat(document.path("status").asInt()).isEqualTo(status);
	}

	/**
	 * Guards against a key that reaches a target because the caller put it somewhere
	 * other than in its header field.
	 */
	@Nested
	class KeyOutsideItsHeaderField {

		@ParameterizedTest
		@ValueSource(strings = { "/booking/" + RunningHost.KEY, "/booking?key=" + RunningHost.KEY,
				"/booking?key=%74he-secret-key-of-harbor-clinic" })
		void inTheRequestLineIsRefused(String path) throws Exception {
			int before = CallerProtocolTests.this.dispatched.size();
			assertProblem(CallerProtocolTests.this.host.exchange("GET " + path + " HTTP/1.1\r\n" + KEYED + CLOSE), 400,
					"bad-request", "not-run");
			assertThat(CallerProtocolTests.this.dispatched).hasSize(before);
		}

		@Test
		void inTheBodyIsRefused() throws Exception {
			int before = CallerProtocolTests.this.dispatched.size();
			String body = "{\"key\": \"" + RunningHost.KEY + "\"}";
			assertProblem(CallerProtocolTests.this.host.exchange(
					"PUT /booking HTTP/1.1\r\n" + KEYED + "Content-Length: " + body.length() + "\r\n" + CLOSE + body),
					400, "bad-request", "not-run");
			assertThat(CallerProtocolTests.this.dispatched).hasSize(before);
		}

		@Test
		void inAnotherFieldIsDropped() throws Exception {
			CallerProtocolTests.this.host
				.exchange("GET /booking/other-field HTTP/1.1\r\nX-Copy: " + RunningHost.KEY + "\r\n" + KEYED + CLOSE);
			assertThat(CallerProtocolTests.this.dispatched)
				.filteredOn((request) -> request.path().equals("/booking/other-field"))
				.singleElement()
				.satisfies((request) -> {
					assertThat(request.headers().first("X-Copy")).isNull();
					assertThat(request.keyHash()).isEmpty();
				});
		}

	}

	@Nested
	class Refusal {

		@Test
		void ofAPathWithABadEscapeIsAProblemDocument() throws Exception {
			assertProblem(CallerProtocolTests.this.host.exchange("GET /booking/%zz HTTP/1.1\r\n" + KEYED + CLOSE), 400,
					"bad-request", "not-run");
		}

		@Test
		void ofARequestWithoutHostIsAProblemDocument() throws Exception {
			assertProblem(CallerProtocolTests.this.host.exchange("GET /booking HTTP/1.1\r\n" + CLOSE), 400,
					"bad-request", "not-run");
		}

		@Test
		void ofAMalformedHeaderIsAProblemDocument() throws Exception {
			assertProblem(CallerProtocolTests.this.host.exchange("GET /booking HTTP/1.1\r\nb\u0001ad: x\r\n" + CLOSE),
					400, "bad-request", "not-run");
		}

		@Test
		void ofAMalformedDeadlineIsAProblemDocument() throws Exception {
			assertProblem(
					CallerProtocolTests.this.host
						.exchange("GET /booking HTTP/1.1\r\nX-Deadline-Ms: soon\r\n" + KEYED + CLOSE),
					400, "bad-request", "not-run");
		}

		@Test
		void ofAPathWithoutRouteIsAProblemDocument() throws Exception {
			assertProblem(CallerProtocolTests.this.host.exchange("GET /nothing HTTP/1.1\r\n" + KEYED + CLOSE), 404,
					"no-route", "not-run");
		}

		@Test
		void ofAnUnknownMethodIsAProblemDocument() throws Exception {
			assertProblem(CallerProtocolTests.this.host.exchange("BREW /booking HTTP/1.1\r\n" + KEYED + CLOSE), 405,
					"method-not-allowed", "not-run");
		}

		@Test
		void ofLargeHeadersIsAProblemDocument() throws Exception {
			assertProblem(
					CallerProtocolTests.this.host
						.exchange("GET /booking HTTP/1.1\r\nX-Large: " + "x".repeat(20_000) + "\r\n" + KEYED + CLOSE),
					431, "headers-too-large", "not-run");
		}

		@Test
		void ofALargeBodyIsAProblemDocument() throws Exception {
			int size = 1024 * 1024 + 1;
			assertProblem(CallerProtocolTests.this.host.exchange(
					"PUT /booking HTTP/1.1\r\nContent-Length: " + size + "\r\n" + KEYED + CLOSE + "x".repeat(size)),
					413, "too-large", "not-run");
		}

		@Test
		void ofABodyThatEndsEarlyIsAProblemDocument() throws Exception {
			try (Socket socket = CallerProtocolTests.this.host.connect()) {
				socket.getOutputStream()
					.write(("PUT /booking HTTP/1.1\r\nContent-Length: 100\r\n" + KEYED + CLOSE + "part").getBytes());
				socket.shutdownOutput();
				assertProblem(new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1), 400,
						"bad-request", "not-run");
			}
		}

		@Test
		void ofASlowBodyIsAProblemDocument() throws Exception {
			try (Socket socket = CallerProtocolTests.this.host.connect()) {
				socket.getOutputStream()
					.write(("PUT /booking HTTP/1.1\r\nContent-Length: 100000\r\n" + KEYED + CLOSE).getBytes());
				for (int i = 0; i < 15 && socket.getInputStream().available() == 0; i++) {
					socket.getOutputStream().write("slow".getBytes());
					Thread.sleep(200);
				}
				byte[] answer = new byte[4096];
				int count = socket.getInputStream().read(answer);
				assertProblem(new String(answer, 0, count, StandardCharsets.ISO_8859_1), 408, "request-timeout",
						"not-run");
			}
		}

		@Test
		void afterAnInternalErrorSaysThatTheRequestMayHaveRun() throws Exception {
			assertProblem(CallerProtocolTests.this.host.exchange("GET /booking/fault HTTP/1.1\r\n" + KEYED + CLOSE),
					500, "internal-error", "unknown");
		}

	}

	@Nested
	class Key {

		@Test
		void isForwardedInNoHeaderField() throws Exception {
			CallerProtocolTests.this.host.exchange("GET /booking/key HTTP/1.1\r\nAuthorization: Bearer "
					+ RunningHost.KEY + "\r\nX-Client-Account: other\r\nX-Kept: yes\r\n" + KEYED + CLOSE);
			CallerRequest request = CallerProtocolTests.this.dispatched.stream()
				.filter((sent) -> sent.path().equals("/booking/key"))
				.findFirst()
				.orElseThrow();
			assertThat(request.headers().fields()).noneMatch((field) -> field.value().contains(RunningHost.KEY));
			assertThat(request.headers()
				.fields()
				.stream()
				.filter((field) -> field.name().equalsIgnoreCase(Headers.CLIENT_ACCOUNT))).singleElement()
				.extracting(Headers.Field::value)
				.isEqualTo("harbor-clinic");
			assertThat(request.headers().first("X-Kept")).isEqualTo("yes");
		}

	}

	@Nested
	class Disconnect {

		@Test
		void ofACallerReleasesItsRequestSlot() throws Exception {
			for (int i = 0; i < 3; i++) {
				try (Socket socket = CallerProtocolTests.this.host.connect()) {
					socket.getOutputStream().write(("GET /booking/slow HTTP/1.1\r\n" + KEYED + "\r\n").getBytes());
					Thread.sleep(100);
				}
			}
			CallerProtocolTests.this.slowRequestsMayEnd.release(3);
			String answer = "";
			for (int i = 0; i < 100 && !answer.startsWith("HTTP/1.1 200"); i++) {
				Thread.sleep(20);
				answer = CallerProtocolTests.this.host.exchange("GET /booking HTTP/1.1\r\n" + KEYED + CLOSE);
			}
			assertThat(answer).startsWith("HTTP/1.1 200");
			// The test of the limit on concurrent requests counts slow requests from
			// zero.
			CallerProtocolTests.this.dispatched.clear();
		}

	}

	@Nested
	class Account {

		@Test
		void cannotRunMoreRequestsThanItsLimit() throws Exception {
			CountDownLatch answered = new CountDownLatch(3);
			for (int i = 0; i < 3; i++) {
				Thread caller = new Thread(() -> {
					try {
						CallerProtocolTests.this.host.exchange("GET /booking/slow HTTP/1.1\r\n" + KEYED + CLOSE);
						answered.countDown();
					}
					catch (IOException ex) {
						throw new IllegalStateException(ex);
					}
				});
				caller.setDaemon(true);
				caller.start();
			}
			waitForSlowRequests(3);
			assertProblem(CallerProtocolTests.this.host.exchange("GET /booking HTTP/1.1\r\n" + KEYED + CLOSE), 429,
					"too-many-concurrent", "not-run");
			CallerProtocolTests.this.slowRequestsMayEnd.release(3);
			assertThat(answered.await(5, TimeUnit.SECONDS)).isTrue();
			assertThat(CallerProtocolTests.this.host.exchange("GET /booking HTTP/1.1\r\n" + KEYED + CLOSE))
				.startsWith("HTTP/1.1 200");
		}

		private void waitForSlowRequests(int count) throws InterruptedException {
			for (int i = 0; i < 200 && CallerProtocolTests.this.dispatched.stream()
				.filter((sent) -> sent.path().equals("/booking/slow"))
				.count() < count; i++) {
				Thread.sleep(20);
			}
		}

		@Test
		void cannotHoldMoreConnectionsThanItsLimit() throws Exception {
			List<Socket> sockets = new CopyOnWriteArrayList<>();
			try {
				for (int i = 0; i < 20; i++) {
					Socket socket = CallerProtocolTests.this.host.connect();
					sockets.add(socket);
					socket.getOutputStream().write(("GET /booking HTTP/1.1\r\n" + KEYED + "\r\n").getBytes());
					assertThat(socket.getInputStream().read()).isEqualTo('H');
				}
				assertProblem(CallerProtocolTests.this.host.exchange("GET /booking HTTP/1.1\r\n" + KEYED + CLOSE), 429,
						"too-many-concurrent", "not-run");
			}
			finally {
				for (Socket socket : sockets) {
					socket.close();
				}
			}
		}

	}

}
