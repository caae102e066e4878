package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a malformed message, to any port of a host, that ends the host or makes
 * it stop serving others.
 */
class MalformedMessagesTests extends AbstractGatewayTests {

	private static final int MESSAGES = 150;

	private final Random random = new Random(4_711);

	private GatewayFixture.Host host;

	@BeforeEach
	void prepare() throws IOException {
		this.fixture.startTarget("i-1", (exchange) -> exchange.respond(GatewayFixture
			.signedResponse(String.valueOf(exchange.request().header("X-Plantainspur-Attempt-Id")), "done")));
		this.host = this.fixture.startReadyHost("a1");
	}

	// Changes, removes or repeats some bytes.
	private byte[] changed(byte[] valid) {
		byte[] bytes = valid.clone();
		for (int i = this.random.nextInt(6); i >= 0; i--) {
			bytes[this.random.nextInt(bytes.length)] = (byte) this.random.nextInt(256);
		}
		int length = 1 + this.random.nextInt(bytes.length);
		return this.random.nextBoolean() ? Arrays.copyOf(bytes, length) : bytes;
	}

	private void sendChanged(int port, String valid) throws IOException {
		for (int i = 0; i < MESSAGES; i++) {
			try (Socket socket = new Socket("127.0.0.1", port)) {
				socket.getOutputStream().write(changed(valid.getBytes(StandardCharsets.ISO_8859_1)));
			}
		}
	}

	private void assertThatTheHostServesWithoutFailures() {
		GatewayFixture.await(() -> GatewayFixture
			.sendRequest(this.host.port(), GatewayFixture.requestText("GET", "/read/1", "r1", ""))
			.startsWith("HTTP/1.1 200"));
		assertThat(GatewayFixture.sendRequest(this.host.readyPort(), "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"))
			.startsWith("HTTP/1.1 200");
		assertThat(this.fixture.logLines()).noneMatch((line) -> line.startsWith("a1 task-failed"));
	}

	@Nested
	class OfCallers {

		@Test
		void changedRequestsDoNoHarm() throws IOException {
			sendChanged(MalformedMessagesTests.this.host.port(),
					GatewayFixture.requestText("POST", "/book/1", "m", "Content-Length: 5\r\n") + "hello"
							+ GatewayFixture.requestText("POST", "/read/1", "n", "Transfer-Encoding: chunked\r\n")
							+ "5\r\nhello\r\n0\r\n\r\n");
			assertThatTheHostServesWithoutFailures();
		}

		@Test
		void changedQuestionsForAddressesDoNoHarm() throws IOException {
			sendChanged(MalformedMessagesTests.this.host.directoryPort(),
					"GET /resolve?name=jobs.example&region=r&zone=%41 HTTP/1.1\r\nHost: x\r\n\r\n");
			assertThatTheHostServesWithoutFailures();
		}

	}

	@Nested
	class OfHosts {

		@Test
		void changedRequestsForRowsDoNoHarm() throws IOException {
			sendChanged(MalformedMessagesTests.this.host.peerPort(),
					"GET /rows?table=servers&after=99 HTTP/1.1\r\nHost: x\r\n\r\n");
			assertThatTheHostServesWithoutFailures();
		}

		@Test
		void datagramsOfAnyBytesDoNoHarm() throws IOException {
			try (DatagramSocket socket = new DatagramSocket()) {
				for (int i = 0; i < MESSAGES; i++) {
					byte[] bytes = new byte[1 + MalformedMessagesTests.this.random.nextInt(300)];
					MalformedMessagesTests.this.random.nextBytes(bytes);
					// The version of the format, so that the fields after it are read.
					bytes[0] = 3;
					socket.send(new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(),
							MalformedMessagesTests.this.host.peerPort()));
				}
			}
			assertThatTheHostServesWithoutFailures();
		}

	}

}
