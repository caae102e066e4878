package org.plantainspur.host;

import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.plantainspur.core.membership.Member;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a graceful shutdown that interrupts a request or still directs callers
 * to the host.
 */
@Timeout(60)
class GracefulShutdownTests {

	private static final String KEYED = "Host: x\r\nX-Api-Key: " + RunningHost.KEY + "\r\n";

	private final CountDownLatch requestRunning = new CountDownLatch(1);

	private final Semaphore requestMayEnd = new Semaphore(0);

	private RunningHost host;

	@BeforeEach
	void start() throws Exception {
		this.host = new RunningHost((target, request, idempotent, timeout) -> {
			if (request.path().equals("/booking/slow")) {
				this.requestRunning.countDown();
				this.requestMayEnd.acquireUninterruptibly();
			}
			return RunningHost.ok();
		});
	}

	@AfterEach
	void stop() throws Exception {
		this.requestMayEnd.release(10);
		this.host.close();
	}

	private CompletableFuture<Void> beginShutdown() throws InterruptedException {
		CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> {
			try {
				this.host.gracefulShutdown().run();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		while (!this.host.gracefulShutdown().stopping()) {
			Thread.sleep(5);
		}
		return stopped;
	}

	@Nested
	class RequestInFlight {

		@Test
		void isAnsweredCompletelyBeforeTheShutdownEnds() throws Exception {
			CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> {
				try {
					return GracefulShutdownTests.this.host.exchange("GET /booking/slow HTTP/1.1\r\n" + KEYED + "\r\n");
				}
				catch (Exception ex) {
					throw new IllegalStateException(ex);
				}
			});
			assertThat(GracefulShutdownTests.this.requestRunning.await(5, TimeUnit.SECONDS)).isTrue();
			CompletableFuture<Void> stopped = beginShutdown();
			// After 1,300 ms only a request in flight can still delay the shutdown.
			Thread.sleep(1800);
			assertThat(stopped).isNotDone();
			GracefulShutdownTests.this.requestMayEnd.release();
			stopped.get(5, TimeUnit.SECONDS);
			GracefulShutdownTests.this.host.close();
			assertThat(answer.get()).startsWith("HTTP/1.1 200")
				.containsIgnoringCase("connection: close")
				.endsWith("ok");
		}

	}

	@Nested
	class RequestDuringShutdown {

		@Test
		void isServedAndItsConnectionIsClosed() throws Exception {
			try (Socket socket = GracefulShutdownTests.this.host.connect()) {
				String request = "GET /booking HTTP/1.1\r\n" + KEYED + "\r\n";
				socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
				InputStream input = socket.getInputStream();
				byte[] first = new byte[1024];
				int count = input.read(first);
				assertThat(new String(first, 0, count, StandardCharsets.ISO_8859_1)).startsWith("HTTP/1.1 200")
					.doesNotContainIgnoringCase("connection: close");
				CompletableFuture<Void> stopped = beginShutdown();
				socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
				assertThat(new String(input.readAllBytes(), StandardCharsets.ISO_8859_1)).startsWith("HTTP/1.1 200")
					.containsIgnoringCase("connection: close")
					.endsWith("ok");
				stopped.get(10, TimeUnit.SECONDS);
			}
		}

	}

	@Nested
	class Host {

		@Test
		void isNotNamedByItsOwnLocateAnswers() throws Exception {
			String locate = "GET /.plantainspur/locate HTTP/1.1\r\n" + KEYED + "Connection: close\r\n\r\n";
			assertThat(GracefulShutdownTests.this.host.exchange(locate)).contains("\"entry-1\"");
			CompletableFuture<Void> stopped = beginShutdown();
			assertThat(GracefulShutdownTests.this.host.exchange(locate)).contains("\"hosts\":[]")
				.contains("\"dispatchToken\":\"\"");
			stopped.get(10, TimeUnit.SECONDS);
		}

		@Test
		void resignsAndDoesNotJoinAgain() throws Exception {
			beginShutdown().get(10, TimeUnit.SECONDS);
			Thread.sleep(200);
			assertThat(GracefulShutdownTests.this.host.view().current().membership().members())
				.allMatch(Member::resigned)
				.hasSize(1);
		}

	}

}
