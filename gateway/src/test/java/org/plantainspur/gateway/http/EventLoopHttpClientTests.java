package org.plantainspur.gateway.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class EventLoopHttpClientTests {

	private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

	private final NioEventLoopGroup eventLoops = new NioEventLoopGroup(1);

	@AfterEach
	void shutDown() {
		this.eventLoops.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
	}

	/**
	 * Guards against a response that is merged with bytes which the server sent behind an
	 * earlier one: its status would be that of the earlier response.
	 */
	@Nested
	class BytesBehindAResponse {

		@Test
		void theNextCallUsesAnotherConnection() throws Exception {
			AtomicInteger connections = new AtomicInteger();
			try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
				Thread acceptor = new Thread(() -> acceptConnections(server, connections));
				acceptor.setDaemon(true);
				acceptor.start();
				EventLoopHttpClient client = new EventLoopHttpClient(EventLoopHttpClientTests.this.eventLoops.next(),
						new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()));
				for (int i = 0; i < 3; i++) {
					EventLoopHttpClient.Reply reply = client.call("GET", "/rows", new byte[0], 2_000)
						.toCompletableFuture()
						.get(3, TimeUnit.SECONDS);
					assertThat(reply.status()).isEqualTo(200);
					assertThat(reply.bodyExcerpt()).isEqualTo("ok");
				}
			}
			assertThat(connections).hasValue(3);
		}

		private void acceptConnections(ServerSocket server, AtomicInteger connections) {
			while (!server.isClosed()) {
				try {
					Socket connection = server.accept();
					connections.incrementAndGet();
					Thread thread = new Thread(() -> serve(connection));
					thread.setDaemon(true);
					thread.start();
				}
				catch (IOException ex) {
					// The test has ended.
				}
			}
		}

		// Sends the beginning of another response behind each response.
		private void serve(Socket connection) {
			try (connection) {
				InputStream input = connection.getInputStream();
				StringBuilder head = new StringBuilder();
				for (int next = input.read(); next >= 0; next = input.read()) {
					head.append((char) next);
					if (head.indexOf("\r\n\r\n") >= 0) {
						head.setLength(0);
						String bytes = RESPONSE + "HTTP/1.1 503 Service Unavailable\r\nRetry-After: ";
						connection.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
					}
				}
			}
			catch (IOException ex) {
				// The client closed the connection.
			}
		}

	}

	/** Guards against a response that breaks off and is taken for complete. */
	@Nested
	class BrokenOffResponse {

		@ParameterizedTest
		@ValueSource(strings = { "HTTP/1.1 200 OK\r\nX-Name: value\r\nContent-Length: 2\r\n\r\n{}",
				"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n01\r\n{\r\n01\r\n}\r\n0\r\n\r\n",
				"HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\nX-Name: value\r\n\r\n",
				"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\nX-Name: value\r\n\r\n" })
		void hasNoStatus(String text) throws Exception {
			for (boolean reset : new boolean[] { false, true }) {
				AtomicInteger length = new AtomicInteger();
				try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
					Thread acceptor = new Thread(() -> breakOff(server, text, length, reset));
					acceptor.setDaemon(true);
					acceptor.start();
					EventLoopHttpClient client = new EventLoopHttpClient(
							EventLoopHttpClientTests.this.eventLoops.next(),
							new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()));
					for (; length.get() < text.length(); length.incrementAndGet()) {
						EventLoopHttpClient.Reply reply = client.call("GET", "/rows", new byte[0], 2_000)
							.toCompletableFuture()
							.get(3, TimeUnit.SECONDS);
						assertThat(reply.status()).as("%s bytes of %s, reset: %s", length, text, reset).isZero();
						assertThat(reply.bodyExcerpt()).doesNotContain("no response within");
					}
				}
			}
		}

		// Answers one connection after another with the beginning of a response.
		private void breakOff(ServerSocket server, String text, AtomicInteger length, boolean reset) {
			while (!server.isClosed()) {
				try (Socket connection = server.accept()) {
					StringBuilder head = new StringBuilder();
					while (head.indexOf("\r\n\r\n") < 0) {
						head.append((char) connection.getInputStream().read());
					}
					connection.getOutputStream()
						.write(text.substring(0, length.get()).getBytes(StandardCharsets.ISO_8859_1));
					connection.setSoLinger(reset, 0);
				}
				catch (IOException ex) {
					// The test has ended.
				}
			}
		}

	}

}
