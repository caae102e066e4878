package org.plantainspur.adapters.peer;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerHandler;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.request.CallerRequest;
import org.plantainspur.core.request.Headers;
import org.plantainspur.core.request.Problem;
import org.plantainspur.core.time.Clock;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against lost, swapped or delayed answers between member hosts, against peers
 * without the fleet secret, and against a faulty or lost peer that affects others. The
 * members communicate over real sockets.
 */
@Timeout(20)
class TcpPeerTests {

	private static final FleetSecret SECRET = FleetSecret.of("a secret of the fleet for tests 1");

	private static final PeerMessage HEARTBEAT = new PeerMessage.Heartbeat("entry-1", "p1", 7, 20, false, List.of());

	private final List<AutoCloseable> resources = new ArrayList<>();

	private final PeerCodec codec = new PeerCodec();

	@AfterEach
	void close() throws Exception {
		for (AutoCloseable closeable : this.resources) {
			closeable.close();
		}
	}

	private TcpPeerServer server(PeerHandler handler, int connections, int relays) throws IOException {
		TcpPeerServer server = new TcpPeerServer(new InetSocketAddress("127.0.0.1", 0), SECRET, handler,
				new TcpPeerServer.Limits(connections, relays));
		this.resources.add(server);
		return server;
	}

	private TcpPeerLink link(FleetSecret secret) {
		TcpPeerLink link = new TcpPeerLink(secret, Clock.system());
		this.resources.add(link);
		return link;
	}

	private static Member member(int port) {
		return Member.builder("entry-2", "p2").peerAddress("127.0.0.1:" + port).build();
	}

	private static PeerMessage relay(String path) {
		return new PeerMessage.Relay("p2", new CallerRequest("POST", path, "", Headers.empty(), new byte[0], "", 0),
				5000);
	}

	private Socket connectAuthenticated(int port) throws IOException {
		Socket socket = new Socket("127.0.0.1", port);
		this.resources.add(socket);
		new PeerHandshake(SECRET, this.codec).connect(new DataInputStream(socket.getInputStream()),
				new DataOutputStream(socket.getOutputStream()));
		return socket;
	}

	@Nested
	class Answers {

		@Test
		void inAnotherOrderReachTheirOwnRequests() throws Exception {
			CountDownLatch secondDone = new CountDownLatch(1);
			TcpPeerServer server = server((message) -> {
				String path = ((PeerMessage.Relay) message).request().path();
				if (path.equals("/first")) {
					await(secondDone);
				}
				return new PeerMessage.Unsupported(path);
			}, 4, 4);
			TcpPeerLink link = link(SECRET);
			CompletableFuture<PeerMessage> first = link.ask(member(server.port()), relay("/first"), 5000);
			CompletableFuture<PeerMessage> second = link.ask(member(server.port()), relay("/second"), 5000);
			assertThat(second.get()).isEqualTo(new PeerMessage.Unsupported("/second"));
			assertThat(first).isNotDone();
			secondDone.countDown();
			assertThat(first.get()).isEqualTo(new PeerMessage.Unsupported("/first"));
		}

		@Test
		void afterTheTimeoutAreDroppedAndDoNotReachALaterRequest() throws Exception {
			CountDownLatch mayAnswerLate = new CountDownLatch(1);
			TcpPeerServer server = server((message) -> {
				if (message instanceof PeerMessage.Relay) {
					await(mayAnswerLate);
				}
				return message;
			}, 4, 4);
			TcpPeerLink link = link(SECRET);
			CompletableFuture<PeerMessage> timedOut = link.ask(member(server.port()), relay("/late"), 100);
			assertThatExceptionOfType(ExecutionException.class).isThrownBy(timedOut::get)
				.withCauseInstanceOf(TimeoutException.class);
			mayAnswerLate.countDown();
			for (int i = 0; i < 50; i++) {
				PeerMessage nudge = new PeerMessage.Nudge(i);
				assertThat(link.ask(member(server.port()), nudge, 2000).get()).isEqualTo(nudge);
			}
		}

		@Test
		void toHeartbeatsDoNotWaitForRelayedRequests() throws Exception {
			CountDownLatch mayFinishRelays = new CountDownLatch(1);
			TcpPeerServer server = server((message) -> {
				if (message instanceof PeerMessage.Relay) {
					await(mayFinishRelays);
				}
				return message;
			}, 4, 2);
			TcpPeerLink link = link(SECRET);
			List<CompletableFuture<PeerMessage>> relays = new ArrayList<>();
			for (int i = 0; i < 4; i++) {
				relays.add(link.ask(member(server.port()), relay("/" + i), 10_000));
			}
			assertThat(link.ask(member(server.port()), HEARTBEAT, 1000).get()).isEqualTo(HEARTBEAT);
			PeerMessage overflow = link.ask(member(server.port()), relay("/5"), 1000).get();
			assertThat(overflow).isInstanceOfSatisfying(PeerMessage.Relayed.class,
					(relayed) -> assertThat(relayed.answer()).asString()
						.contains(Problem.Code.NO_CAPACITY.name())
						.contains(Problem.Run.NOT_RUN.name()));
			mayFinishRelays.countDown();
			CompletableFuture.allOf(relays.toArray(CompletableFuture[]::new)).get(5, TimeUnit.SECONDS);
		}

		private static void await(CountDownLatch latch) {
			try {
				assertThat(latch.await(10, TimeUnit.SECONDS)).isTrue();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}

	}

	@Nested
	class Authentication {

		@Test
		void failsWithAnotherSecret() throws Exception {
			TcpPeerServer server = server((message) -> message, 4, 4);
			CompletableFuture<PeerMessage> answer = link(FleetSecret.of("another secret of another fleet 2"))
				.ask(member(server.port()), HEARTBEAT, 3000);
			assertThatExceptionOfType(ExecutionException.class).isThrownBy(answer::get)
				.withCauseInstanceOf(IOException.class);
		}

		@Test
		void isRequiredBeforeAnyMessageIsHandled() throws Exception {
			List<PeerMessage> handled = new ArrayList<>();
			TcpPeerServer server = server((message) -> {
				handled.add(message);
				return message;
			}, 4, 4);
			try (Socket socket = new Socket("127.0.0.1", server.port())) {
				DataInputStream input = new DataInputStream(socket.getInputStream());
				PeerFrames.read(input, 512);
				PeerFrames.write(new DataOutputStream(socket.getOutputStream()),
						TcpPeerTests.this.codec.encode(1, HEARTBEAT));
				assertThatExceptionOfType(IOException.class).isThrownBy(() -> PeerFrames.read(input, 512));
			}
			assertThat(handled).isEmpty();
		}

		@Test
		void secretIsNotInItsToString() {
			assertThat(SECRET).asString().doesNotContain("secret of the fleet");
		}

	}

	@Nested
	class ProtocolFault {

		@Test
		void inTheVersionClosesOnlyItsConnection() throws Exception {
			assertClosesOnlyItsConnection(ByteBuffer.allocate(6).putInt(2).put((byte) 9).put((byte) 0x80).array());
		}

		@Test
		void inThePayloadClosesOnlyItsConnection() throws Exception {
			assertClosesOnlyItsConnection(
					ByteBuffer.allocate(6).putInt(2).put(PeerFrames.VERSION).put((byte) 0x80).array());
		}

		private void assertClosesOnlyItsConnection(byte[] frame) throws Exception {
			TcpPeerServer server = server((message) -> message, 4, 4);
			TcpPeerLink link = link(SECRET);
			link.ask(member(server.port()), HEARTBEAT, 2000).get();
			Socket faulty = connectAuthenticated(server.port());
			faulty.getOutputStream().write(frame);
			faulty.setSoTimeout(3000);
			assertThatExceptionOfType(EOFException.class)
				.isThrownBy(() -> new DataInputStream(faulty.getInputStream()).readInt());
			assertThat(link.ask(member(server.port()), HEARTBEAT, 2000).get()).isEqualTo(HEARTBEAT);
		}

		@Test
		void inTheTypeIsAnsweredUnsupportedAndKeepsTheConnectionOpen() throws Exception {
			TcpPeerServer server = server((message) -> message, 4, 4);
			Socket socket = connectAuthenticated(server.port());
			DataInputStream input = new DataInputStream(socket.getInputStream());
			DataOutputStream output = new DataOutputStream(socket.getOutputStream());
			PeerFrames.write(output, TcpPeerTests.this.codec.payloads()
				.encode(TcpPeerTests.this.codec.emptyFields().put("type", "later").put("id", 9)));
			assertThat(TcpPeerTests.this.codec.decode(PeerFrames.read(input, 512)))
				.isEqualTo(new PeerCodec.Decoded.Message(9, new PeerMessage.Unsupported("later")));
			PeerFrames.write(output, TcpPeerTests.this.codec.encode(10, HEARTBEAT));
			assertThat(TcpPeerTests.this.codec.decode(PeerFrames.read(input, 512)))
				.isEqualTo(new PeerCodec.Decoded.Message(10, HEARTBEAT));
		}

	}

	@Nested
	class LostPeer {

		@Test
		void failsItsRequestsAndIsReconnectedAfterARestart() throws Exception {
			TcpPeerServer first = server((message) -> message, 4, 4);
			int port = first.port();
			TcpPeerLink link = link(SECRET);
			link.ask(member(port), HEARTBEAT, 2000).get();
			first.close();
			assertThatExceptionOfType(ExecutionException.class)
				.isThrownBy(() -> link.ask(member(port), HEARTBEAT, 1000).get());
			TcpPeerServer second = new TcpPeerServer(new InetSocketAddress("127.0.0.1", port), SECRET,
					(message) -> message, new TcpPeerServer.Limits(4, 4));
			TcpPeerTests.this.resources.add(second);
			assertThat(answersWithin(link, port, 5000)).isTrue();
		}

		private boolean answersWithin(TcpPeerLink link, int port, long millis) throws InterruptedException {
			long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
			while (System.nanoTime() < end) {
				try {
					return link.ask(member(port), HEARTBEAT, 1000).get().equals(HEARTBEAT);
				}
				catch (ExecutionException ex) {
					Thread.sleep(50);
				}
			}
			return false;
		}

		@Test
		void thatAcceptsConnectionsButNeverAnswersBlocksNoCaller() throws Exception {
			try (ServerSocket silent = new ServerSocket(0)) {
				TcpPeerLink link = link(SECRET);
				long started = System.nanoTime();
				List<CompletableFuture<PeerMessage>> answers = new ArrayList<>();
				for (int i = 0; i < 2000; i++) {
					answers.add(link.ask(member(silent.getLocalPort()), HEARTBEAT, 300));
				}
				assertThat(System.nanoTime() - started).isLessThan(TimeUnit.MILLISECONDS.toNanos(1000));
				for (CompletableFuture<PeerMessage> answer : answers) {
					assertThatExceptionOfType(ExecutionException.class)
						.isThrownBy(() -> answer.get(2, TimeUnit.SECONDS));
				}
			}
		}

	}

}
