package org.plantainspur.standins.gateway;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntFunction;
import java.util.stream.Stream;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.plantainspur.core.store.StoreResult;
import org.plantainspur.core.store.StoreVersion;
import org.plantainspur.gateway.peer.PeerTableReaders;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against targets in trouble that send bytes which are no answer, or an answer
 * that belongs to another request.
 */
class HostileTargetsTests extends AbstractGatewayTests {

	private static String response(String id, String body) {
		return "HTTP/1.1 200 OK\r\nX-Plantainspur-Attempt-Id: " + id
				+ "\r\nX-Plantainspur-Response-Signature: signed\r\nContent-Length: " + body.length() + "\r\n\r\n"
				+ body;
	}

	private static String decline(String id) {
		return "HTTP/1.1 503 Full\r\nX-Plantainspur-Attempt-Id: " + id
				+ "\r\nX-Plantainspur-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
	}

	private static String get(int port, String path, String id) {
		return GatewayFixture.sendRequest(port, GatewayFixture.requestText("GET", path, id, ""));
	}

	// Sends a request of the route whose requests are sent to one target only.
	private static String once(int port, String id) {
		return GatewayFixture.sendRequest(port,
				GatewayFixture.requestText("POST", "/once/1", id, "Content-Length: 0\r\n"));
	}

	/**
	 * Sends the request r1, which must be declined once, and further requests on both of
	 * the host's threads before r1 is sent to its target again. All must be answered.
	 */
	private void serveOthersWhileADeclinedRequestWaits(CountDownLatch declined) throws Exception {
		GatewayFixture.Host host = this.fixture.startReadyHost("a1");
		// The first requests and assertions load classes; the next ones must come
		// before the declined request is sent again.
		for (int i = 0; i < 4; i++) {
			assertThat(once(host.port(), "w" + i)).startsWith("HTTP/1.1 200");
		}
		CompletableFuture<String> first = CompletableFuture.supplyAsync(() -> once(host.port(), "r1"));
		assertThat(declined.await(2, TimeUnit.SECONDS)).isTrue();
		GatewayFixture.sleep(20);
		// Each of the host's two threads for requests has connections of its own.
		List<CompletableFuture<String>> next = Stream.of("r2", "r3", "r4", "r5")
			.map((id) -> CompletableFuture.supplyAsync(() -> once(host.port(), id)))
			.toList();
		for (CompletableFuture<String> response : next) {
			assertThat(response.get(2, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200");
		}
		assertThat(first.get(2, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200");
	}

	private static String book(int port, String id) {
		return GatewayFixture.sendRequest(port,
				GatewayFixture.requestText("POST", "/book/1", id, "Content-Length: 0\r\n"));
	}

	/**
	 * Bytes that are no answer may come without end, in a head or a body. They must
	 * neither use up the memory of the host nor keep a request from being answered.
	 */
	@Nested
	class EndlessBytes {

		@ParameterizedTest
		@EnumSource
		void theRequestFailsAndTheConnectionIsClosed(Endless endless) throws Exception {
			CountDownLatch closed = new CountDownLatch(1);
			HostileTargetsTests.this.fixture.startRawTarget("i-1", (connection) -> {
				try {
					endless.serve(connection);
				}
				finally {
					closed.countDown();
				}
			});
			GatewayFixture.Host host = HostileTargetsTests.this.fixture.startReadyHost("a1");
			long startNanos = System.nanoTime();
			assertThat(book(host.port(), "r1")).matches("(?s)HTTP/1.1 50[24].*");
			assertThat((System.nanoTime() - startNanos) / 1_000_000).isLessThan(2_500);
			assertThat(closed.await(1, TimeUnit.SECONDS)).as("the connection to the target is closed").isTrue();
		}

		@Test
		void aHostWithLittleMemoryServesOthersBesideTwentySuchTargets() throws Exception {
			Endless[] kinds = Endless.values();
			for (int i = 0; i < 20; i++) {
				HostileTargetsTests.this.fixture.startRawTarget("i-" + i, kinds[i % kinds.length]::serve);
			}
			RawServer good = new RawServer((connection) -> {
				for (String id = connection.readRequestId(); id != null; id = connection.readRequestId()) {
					connection.write(response(id, "done"));
				}
			});
			HostileTargetsTests.this.fixture.listTarget("t", "t-1", good.port(), "ready");
			GatewayFixture.HostProcess host = HostileTargetsTests.this.fixture.startReadyHostProcess("a1");
			AtomicBoolean ended = new AtomicBoolean();
			List<Thread> callers = new ArrayList<>();
			for (int i = 0; i < 20; i++) {
				int caller = i;
				Thread thread = new Thread(() -> {
					for (int request = 0; !ended.get(); request++) {
						get(host.port(), "/read/1", "bad-" + caller + "-" + request);
					}
				});
				thread.start();
				callers.add(thread);
			}
			List<String> served = new ArrayList<>();
			for (int i = 0; i < 60; i++) {
				long startNanos = System.nanoTime();
				String response = get(host.port(), "/other/1", "good-" + i);
				served.add(response.startsWith("HTTP/1.1 200") ? "200"
						: response + " after " + (System.nanoTime() - startNanos) / 1_000_000 + " ms");
				GatewayFixture.sleep(50);
			}
			ended.set(true);
			for (Thread caller : callers) {
				caller.join();
			}
			good.close();
			assertThat(host.process().isAlive()).isTrue();
			assertThat(Files.readString(host.log())).doesNotContain("OutOfMemoryError");
			assertThat(served).as("responses of the healthy service").containsOnly("200").hasSize(60);
		}

	}

	/** Guards against a response that reaches the caller of another request. */
	@Nested
	class LateCopies {

		@Test
		void aSecondCopyThatArrivesWithTheNextRequestIsSkipped() throws IOException {
			HostileTargetsTests.this.fixture.startRawTarget("i-1", (connection) -> {
				String previous = "";
				for (String id = connection.readRequestId(); id != null; id = connection.readRequestId()) {
					connection.write(previous + response(id, "for " + id));
					previous = response(id, "for " + id);
				}
			});
			GatewayFixture.Host host = HostileTargetsTests.this.fixture.startReadyHost("a1");
			for (int i = 0; i < 5; i++) {
				assertThat(get(host.port(), "/read/1", "r" + i)).startsWith("HTTP/1.1 200").endsWith("for r" + i);
			}
		}

		@Test
		void aSecondCopyOnAnIdleConnectionClosesIt() throws IOException {
			AtomicInteger connections = new AtomicInteger();
			HostileTargetsTests.this.fixture.startRawTarget("i-1", (connection) -> {
				connections.incrementAndGet();
				for (String id = connection.readRequestId(); id != null; id = connection.readRequestId()) {
					connection.write(response(id, "for " + id));
					GatewayFixture.sleep(50);
					connection.write(response(id, "for " + id));
				}
			});
			GatewayFixture.Host host = HostileTargetsTests.this.fixture.startReadyHost("a1");
			for (int i = 0; i < 3; i++) {
				assertThat(get(host.port(), "/read/1", "r" + i)).startsWith("HTTP/1.1 200").endsWith("for r" + i);
				GatewayFixture.sleep(150);
			}
			assertThat(connections).hasValue(3);
		}

		/**
		 * The request is sent to the target that declined it once more, under the same
		 * id. A late copy of the first response would say that the repetition did not
		 * run, and the request would be sent a third time, although it has run.
		 */
		@Test
		void aSecondCopyOfADeclineDoesNotAnswerTheRepetitionOfTheRequest() throws IOException {
			AtomicInteger requests = new AtomicInteger();
			AtomicInteger runs = new AtomicInteger();
			HostileTargetsTests.this.fixture.startRawTarget("i-1", (connection) -> {
				String late = "";
				for (String id = connection.readRequestId(); id != null; id = connection.readRequestId()) {
					if (requests.incrementAndGet() == 1) {
						late = decline(id);
						connection.write(late);
					}
					else {
						runs.incrementAndGet();
						connection.write(late + response(id, "done"));
						late = "";
					}
				}
			});
			GatewayFixture.Host host = HostileTargetsTests.this.fixture.startReadyHost("a1");
			assertThat(once(host.port(), "r1")).startsWith("HTTP/1.1 200");
			assertThat(runs).hasValue(1);
		}

	}

	/**
	 * Guards against a late copy of a decline that answers the repetition of the request:
	 * the connection had carried another request in between, and the request was sent a
	 * third time although it was running.
	 */
	@Nested
	class LateCopiesAfterAnotherRequest {

		@Test
		void doNotMakeTheDeclinedRequestRunTwice() throws Exception {
			CountDownLatch declined = new CountDownLatch(1);
			Map<String, Integer> runs = new ConcurrentHashMap<>();
			HostileTargetsTests.this.fixture.startRawTarget("i-1", (connection) -> {
				boolean hasDeclined = false;
				for (String id = connection.readRequestId(); id != null; id = connection.readRequestId()) {
					if (id.equals("r1") && declined.getCount() > 0) {
						hasDeclined = true;
						connection.write(decline(id));
						declined.countDown();
						continue;
					}
					runs.merge(id, 1, Integer::sum);
					if (hasDeclined) {
						// This connection is the last one to become idle, which the host
						// uses first.
						GatewayFixture.sleep(40);
						connection.write(id.equals("r1") ? decline(id) : "");
					}
					connection.write(response(id, "done"));
				}
			});
			serveOthersWhileADeclinedRequestWaits(declined);
			assertThat(runs.values()).as("runs of %s", runs.keySet()).hasSize(9).containsOnly(1);
		}

	}

	/**
	 * Guards against the beginning of a second copy that stays in the host's decoder: the
	 * next request on the connection was taken for declined, and ran twice.
	 */
	@Nested
	class TruncatedCopies {

		@Test
		void theRequestAfterATruncatedCopyOfADeclineRunsOnce() throws Exception {
			CountDownLatch declined = new CountDownLatch(1);
			Map<String, Integer> runs = new ConcurrentHashMap<>();
			HostileTargetsTests.this.fixture.startRawTarget("i-1", (connection) -> {
				for (String id = connection.readRequestId(); id != null; id = connection.readRequestId()) {
					if (id.equals("r1") && declined.getCount() > 0) {
						connection
							.write(decline(id) + "HTTP/1.1 503 Full\r\nX-Plantainspur-Not-Executed: 1\r\nX-Name: ");
						declined.countDown();
					}
					else {
						runs.merge(id, 1, Integer::sum);
						connection.write(response(id, "done"));
					}
				}
			});
			serveOthersWhileADeclinedRequestWaits(declined);
			assertThat(runs.values()).as("runs of %s", runs.keySet()).hasSize(9).containsOnly(1);
		}

	}

	/** Guards against a response that breaks off and reaches the caller as a success. */
	@Nested
	class BrokenOffResponses {

		@ParameterizedTest
		@ValueSource(booleans = { false, true })
		void neverReachTheCallerAsASuccess(boolean connectionClose) throws Exception {
			AtomicInteger length = new AtomicInteger();
			AtomicInteger brokenOff = new AtomicInteger();
			String whole = connectionClose ? response("000", "whole").replaceFirst("\r\n", "\r\nConnection: close\r\n")
					: response("000", "whole");
			HostileTargetsTests.this.fixture.startRawTarget("i-1", (connection) -> {
				String id = connection.readRequestId();
				if (id != null) {
					brokenOff.incrementAndGet();
					connection.write(whole.replace("Id: 000", "Id: " + id).substring(0, length.get()));
				}
			});
			GatewayFixture.Host host = HostileTargetsTests.this.fixture.startReadyHost("a1");
			// All ids have the same length, so that all responses have.
			for (; length.get() < whole.length(); length.incrementAndGet()) {
				String id = String.valueOf(100 + length.get());
				assertThat(book(host.port(), id)).as("%s bytes", length).matches("(?s)HTTP/1.1 5\\d\\d.*");
			}
			assertThat(brokenOff).as("responses that broke off").hasValueGreaterThanOrEqualTo(whole.length());
		}

	}

	@Nested
	class ForeignBodies {

		@Test
		void aBodyWithAContentEncodingIsReplacedByAFailure() throws IOException {
			HostileTargetsTests.this.fixture.startRawTarget("i-1", (connection) -> {
				for (String id = connection.readRequestId(); id != null; id = connection.readRequestId()) {
					connection.write(response(id, "packed").replace("\r\n\r\n", "\r\nContent-Encoding: gzip\r\n\r\n"));
				}
			});
			GatewayFixture.Host host = HostileTargetsTests.this.fixture.startReadyHost("a1");
			assertThat(book(host.port(), "r1")).startsWith("HTTP/1.1 502").doesNotContain("packed");
		}

	}

	/**
	 * Guards against a host that keeps endless responses of the store or of another host
	 * in memory.
	 */
	@Nested
	class EndlessBytesOfStoreAndHosts {

		private final AtomicReference<@Nullable Endless> fault = new AtomicReference<>();

		private final List<Socket> storeConnections = new CopyOnWriteArrayList<>();

		@Test
		void aHostWithLittleMemoryServesCallersBesideSuchAStore() throws Exception {
			HostileTargetsTests.this.fixture.startRawTarget("i-1", (connection) -> {
				for (String id = connection.readRequestId(); id != null; id = connection.readRequestId()) {
					connection.write(response(id, "done"));
				}
			});
			try (RawServer store = new RawServer(this::serveStore)) {
				GatewayFixture.HostProcess host = HostileTargetsTests.this.fixture
					.startReadyHostProcessWithStoreAt("a1", store.port());
				List<String> failed = new ArrayList<>();
				for (Endless kind : Endless.values()) {
					this.fault.set(kind);
					for (Socket connection : this.storeConnections) {
						connection.close();
					}
					for (int i = 0; i < 30; i++) {
						String response = get(host.port(), "/read/1", kind + "-" + i);
						if (!response.startsWith("HTTP/1.1 200")) {
							failed.add(kind + ": " + response);
						}
						GatewayFixture.sleep(50);
					}
				}
				assertThat(host.process().isAlive()).isTrue();
				assertThat(Files.readString(host.log())).doesNotContain("OutOfMemoryError");
				assertThat(failed).isEmpty();
			}
		}

		// Passes the calls on to the store until the fault begins.
		private void serveStore(RawServer.Connection connection) throws IOException {
			Endless kind = this.fault.get();
			if (kind != null) {
				connection.readRequestId();
				kind.write(connection, "");
				return;
			}
			try (Socket upstream = new Socket("127.0.0.1", HostileTargetsTests.this.fixture.store().port())) {
				this.storeConnections.add(upstream);
				RawServer.startDaemonThread(() -> {
					try (upstream) {
						connection.input().transferTo(upstream.getOutputStream());
					}
					catch (IOException ex) {
						// The host or the test closed the connection.
					}
				});
				upstream.getInputStream().transferTo(connection.output());
			}
		}

		@ParameterizedTest
		@EnumSource
		void aReadFromSuchAHostEndsAndItsConnectionIsClosed(Endless kind) throws Exception {
			CountDownLatch closed = new CountDownLatch(1);
			EventLoopGroup loops = new NioEventLoopGroup(1);
			try (RawServer peer = new RawServer((connection) -> {
				try {
					kind.serve(connection);
				}
				finally {
					closed.countDown();
				}
			})) {
				StoreResult result = new PeerTableReaders(loops.next()).readerOf("127.0.0.1:" + peer.port())
					.changes("servers", StoreVersion.NONE, 0)
					.toCompletableFuture()
					.get(2, TimeUnit.SECONDS);
				assertThat(result).isInstanceOf(StoreResult.Unavailable.class);
				assertThat(closed.await(1, TimeUnit.SECONDS)).as("the connection is closed").isTrue();
			}
			finally {
				loops.shutdownGracefully(0, 0, TimeUnit.SECONDS);
			}
		}

	}

	/**
	 * Guards against late copies of declines in orders that one connection alone does not
	 * show: a request must run as often as its callers are told that it ran.
	 */
	@Nested
	class LateCopiesUnderLoad {

		private final AtomicInteger arrivals = new AtomicInteger();

		private final AtomicInteger runs = new AtomicInteger();

		private final AtomicInteger copies = new AtomicInteger();

		// Declines every third request, and sends the copies that the given rule chooses
		// of the declines of its connection.
		private void serve(RawServer.Connection connection, CopyRule rule) throws IOException {
			List<String> declined = new ArrayList<>();
			int carried = 0;
			for (String id = connection.readRequestId(); id != null; id = connection.readRequestId()) {
				carried++;
				StringBuilder late = new StringBuilder();
				for (String earlier : declined.subList(Math.max(0, declined.size() - 4), declined.size())) {
					if (rule.copies(earlier, id, carried)) {
						late.append(decline(earlier));
						this.copies.incrementAndGet();
					}
				}
				if (this.arrivals.incrementAndGet() % 3 == 0) {
					declined.add(id);
					connection.write(late + decline(id));
				}
				else {
					this.runs.incrementAndGet();
					GatewayFixture.sleep(2);
					connection.write(late + response(id, "done"));
				}
			}
		}

		// Returns how many of the requests were answered as completed; all others must
		// be refused as not run.
		private int sendAll(int port, int callers, int requests, IntFunction<String> idOf) throws Exception {
			AtomicInteger next = new AtomicInteger();
			AtomicInteger completed = new AtomicInteger();
			List<String> unexpected = new CopyOnWriteArrayList<>();
			List<CompletableFuture<Void>> ended = new ArrayList<>();
			for (int i = 0; i < callers; i++) {
				ended.add(CompletableFuture.runAsync(() -> {
					for (int number = next.getAndIncrement(); number < requests; number = next.getAndIncrement()) {
						String response = once(port, idOf.apply(number));
						if (response.startsWith("HTTP/1.1 200")) {
							completed.incrementAndGet();
						}
						else if (!response.startsWith("HTTP/1.1 503")) {
							unexpected.add(response);
						}
					}
				}, (task) -> new Thread(task).start()));
			}
			for (CompletableFuture<Void> caller : ended) {
				caller.get(60, TimeUnit.SECONDS);
			}
			assertThat(unexpected).isEmpty();
			return completed.get();
		}

		/** Nothing stops callers from using the same id at the same time. */
		@Test
		void idsThatCallersShareRunAsOftenAsAnswered() throws Exception {
			HostileTargetsTests.this.fixture.startRawTarget("i-1",
					(connection) -> serve(connection, (earlier, id, carried) -> true));
			GatewayFixture.Host host = HostileTargetsTests.this.fixture.startReadyHost("a1");
			int completed = sendAll(host.port(), 4, 300, (number) -> "r" + number % 7);
			assertThat(this.copies).hasPositiveValue();
			assertThat(this.runs).hasValue(completed);
		}

		/** A connection forgets no id as long as it is used. */
		@Test
		void aCopyAfterManyRequestsOfAConnectionIsNotTaken() throws Exception {
			HostileTargetsTests.this.fixture.startRawTarget("i-1",
					(connection) -> serve(connection, (earlier, id, carried) -> earlier.equals(id) || carried > 195));
			GatewayFixture.Host host = HostileTargetsTests.this.fixture.startReadyHost("a1");
			int completed = sendAll(host.port(), 2, 1_500, (number) -> "r" + (number - number % 5 * 20));
			assertThat(this.copies).hasPositiveValue();
			assertThat(this.runs).hasValue(completed);
		}

		/** The process keeps its connections when its entry names another start. */
		@Test
		void aCopyAfterTheProcessIsListedAnewIsNotTaken() throws Exception {
			RawServer target = HostileTargetsTests.this.fixture.startRawTarget("i-1",
					(connection) -> serve(connection, (earlier, id, carried) -> true));
			GatewayFixture.Host host = HostileTargetsTests.this.fixture.startReadyHost("a1");
			AtomicBoolean ended = new AtomicBoolean();
			Thread lister = new Thread(() -> {
				for (int i = 0; !ended.get(); i++) {
					HostileTargetsTests.this.fixture.listTargetStartedAt("i-1", target.port(), 1_000 + i % 2);
					GatewayFixture.sleep(50);
				}
			});
			lister.start();
			int completed = sendAll(host.port(), 4, 300, (number) -> "r" + number % 50);
			ended.set(true);
			lister.join();
			assertThat(this.copies).hasPositiveValue();
			assertThat(this.runs).hasValue(completed);
		}

	}

	/** Chooses the copies of declines that a target sends. */
	private interface CopyRule {

		boolean copies(String earlierId, String id, int carriedRequests);

	}

	/** What a target sends without end after it has read a request. */
	enum Endless {

		BODY_OF_DECLARED_LENGTH {
			@Override
			void write(RawServer.Connection connection, String id) throws IOException {
				connection.write(response(id, "").replace("Content-Length: 0", "Content-Length: 1000000000000"));
				connection.writeEndlessly("x");
			}
		},

		CHUNKED_BODY {
			@Override
			void write(RawServer.Connection connection, String id) throws IOException {
				connection.write(response(id, "").replace("Content-Length: 0", "Transfer-Encoding: chunked"));
				connection.writeEndlessly("10\r\n0123456789abcdef\r\n");
			}
		},

		CHUNK_EXTENSION {
			@Override
			void write(RawServer.Connection connection, String id) throws IOException {
				connection.write(response(id, "").replace("Content-Length: 0", "Transfer-Encoding: chunked") + "10;");
				connection.writeEndlessly("x");
			}
		},

		TRAILER {
			@Override
			void write(RawServer.Connection connection, String id) throws IOException {
				connection.write(response(id, "").replace("Content-Length: 0", "Transfer-Encoding: chunked") + "0\r\n");
				connection.writeEndlessly("A: b\r\n");
			}
		},

		BODY_UNTIL_CLOSE {
			@Override
			void write(RawServer.Connection connection, String id) throws IOException {
				connection.write(response(id, "").replace("Content-Length: 0\r\n", ""));
				connection.writeEndlessly("x");
			}
		},

		HEADER_LINES {
			@Override
			void write(RawServer.Connection connection, String id) throws IOException {
				connection.write("HTTP/1.1 200 OK\r\n");
				connection.writeEndlessly("X-Name: value\r\n");
			}
		},

		STATUS_LINE {
			@Override
			void write(RawServer.Connection connection, String id) throws IOException {
				connection.write("HTTP/1.1 200 ");
				connection.writeEndlessly("x");
			}
		},

		LINE_BREAKS {
			@Override
			void write(RawServer.Connection connection, String id) throws IOException {
				connection.writeEndlessly("\r\n");
			}
		},

		INTERIM_RESPONSES {
			@Override
			void write(RawServer.Connection connection, String id) throws IOException {
				connection.writeEndlessly("HTTP/1.1 100 Continue\r\n\r\n");
			}
		},

		RESPONSES_TO_OTHERS {
			@Override
			void write(RawServer.Connection connection, String id) throws IOException {
				connection.writeEndlessly(response("another", "not yours"));
			}
		},

		BODY_OF_ANOTHER_RESPONSE {
			@Override
			void write(RawServer.Connection connection, String id) throws IOException {
				connection.write(decline("another").replace("Content-Length: 0", "Content-Length: 1000000000000"));
				connection.writeEndlessly("x");
			}
		},

		CHUNKS_OF_ANOTHER_RESPONSE {
			@Override
			void write(RawServer.Connection connection, String id) throws IOException {
				connection.write(decline("another").replace("Content-Length: 0", "Transfer-Encoding: chunked"));
				connection.writeEndlessly("1\r\nx\r\n");
			}
		},

		HEAD_OF_ANOTHER_RESPONSE {
			@Override
			void write(RawServer.Connection connection, String id) throws IOException {
				connection.write("HTTP/1.1 503 Full\r\nX-Plantainspur-Attempt-Id: another\r\nX-Name: ");
				connection.writeEndlessly("x");
			}
		},

		OTHER_PROTOCOL {
			@Override
			void write(RawServer.Connection connection, String id) throws IOException {
				connection.write("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n");
				connection.writeEndlessly("x");
			}
		};

		abstract void write(RawServer.Connection connection, String id) throws IOException;

		void serve(RawServer.Connection connection) throws IOException {
			String id = connection.readRequestId();
			if (id != null) {
				write(connection, id);
			}
		}

	}

}
