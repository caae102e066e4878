package org.plantainspur.adapters.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.plantainspur.adapters.log.Event;
import org.plantainspur.core.peer.PeerHandler;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.request.Problem;

/**
 * Takes messages from other members. Each connection has a thread that reads and handles
 * its messages; relayed requests, which may take as long as their deadline, run on a pool
 * of their own, so that heartbeats never wait behind them. For example <pre>
 * TcpPeerServer server = new TcpPeerServer(address, secret, handler, new TcpPeerServer.Limits(128, 64));
 * </pre>
 */
public final class TcpPeerServer implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(TcpPeerServer.class);

	private static final int HANDSHAKE_TIMEOUT_MILLIS = 2000;

	/**
	 * How long a connection may stay silent, in milliseconds. It is longer than the time
	 * after which the connecting side gives up an idle connection, so that the accepting
	 * side does not close one that is about to be used.
	 */
	private static final int IDLE_TIMEOUT_MILLIS = (int) (PeerChannel.IDLE_MILLIS + 30_000);

	private final ServerSocket listener = new ServerSocket();

	private final PeerHandler handler;

	private final PeerCodec codec = new PeerCodec();

	private final PeerHandshake handshake;

	private final Set<PeerConnection> connections = ConcurrentHashMap.newKeySet();

	private final ThreadPoolExecutor readers;

	private final ExecutorService relays;

	private final ScheduledExecutorService watchdog = PeerThreads.watchdog("peer-server-watchdog");

	/**
	 * Starts to listen.
	 * @param address where to listen
	 * @param secret the fleet secret
	 * @param handler answers the messages
	 * @param limits the bounds on threads
	 * @throws IOException if the address cannot be used
	 */
	public TcpPeerServer(InetSocketAddress address, FleetSecret secret, PeerHandler handler, Limits limits)
			throws IOException {
		this.handler = handler;
		this.handshake = new PeerHandshake(secret, this.codec);
		this.readers = new ThreadPoolExecutor(0, limits.connections(), 1, TimeUnit.SECONDS, new SynchronousQueue<>(),
				PeerThreads.named("peer-reader"));
		this.relays = PeerThreads.bounded("peer-relay", limits.relays(), limits.relays());
		this.listener.setReuseAddress(true);
		this.listener.bind(address);
		PeerThreads.named("peer-acceptor").newThread(this::accept).start();
	}

	/**
	 * Returns the port.
	 * @return the port
	 */
	public int port() {
		return this.listener.getLocalPort();
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				admit(this.listener.accept());
			}
			catch (IOException ex) {
				if (!this.listener.isClosed()) {
					logger.warn(Event.named("peer-accept-failed").with("reason", String.valueOf(ex.getMessage())));
				}
			}
		}
	}

	private void admit(Socket socket) throws IOException {
		PeerConnection connection = new PeerConnection(socket, this.watchdog);
		try {
			this.readers.execute(() -> serve(connection, socket.getRemoteSocketAddress().toString()));
		}
		catch (RejectedExecutionException ex) {
			logger.warn(Event.named("peer-connection-refused")
				.with("peer", String.valueOf(socket.getRemoteSocketAddress()))
				.with("limit", this.readers.getMaximumPoolSize()));
			connection.close();
		}
	}

	private void serve(PeerConnection connection, String peer) {
		this.connections.add(connection);
		try (connection) {
			connection.receiveTimeout(HANDSHAKE_TIMEOUT_MILLIS);
			this.handshake.accept(connection.input(), connection.output());
			connection.receiveTimeout(IDLE_TIMEOUT_MILLIS);
			while (!this.listener.isClosed()) {
				handle(connection, this.codec.decode(connection.receive()));
			}
		}
		catch (PeerProtocolException ex) {
			logger.warn(Event.named("peer-protocol-fault")
				.with("peer", peer)
				.with("reason", String.valueOf(ex.getMessage())));
		}
		catch (IOException ex) {
			logger.debug(() -> Event.named("peer-connection-ended").with("peer", peer));
		}
		catch (RuntimeException ex) {
			logger.error(Event.named("peer-connection-failed").with("peer", peer), ex);
		}
		finally {
			this.connections.remove(connection);
		}
	}

	private void handle(PeerConnection connection, PeerCodec.Decoded decoded) throws IOException {
		if (decoded instanceof PeerCodec.Decoded.UnknownType unknown) {
			connection.send(this.codec.encode(unknown.id(), new PeerMessage.Unsupported(unknown.type())));
			return;
		}
		PeerCodec.Decoded.Message received = (PeerCodec.Decoded.Message) decoded;
		if (received.message() instanceof PeerMessage.Relay relay) {
			handleRelay(connection, received.id(), relay);
			return;
		}
		connection.send(this.codec.encode(received.id(), this.handler.handle(received.message())));
	}

	private void handleRelay(PeerConnection connection, long id, PeerMessage.Relay relay) throws IOException {
		try {
			this.relays.execute(() -> runRelay(connection, id, relay));
		}
		catch (RejectedExecutionException ex) {
			Problem problem = Problem.notRun(Problem.Code.NO_CAPACITY,
					"this host runs as many relayed requests as it may");
			connection.send(this.codec.encode(id, new PeerMessage.Relayed(problem.retryAfter(1000).toRefusal())));
		}
	}

	private void runRelay(PeerConnection connection, long id, PeerMessage.Relay relay) {
		try {
			connection.send(encodeAnswer(id, relayAnswer(relay)));
		}
		catch (IOException ex) {
			logger.debug(() -> Event.named("relayed-answer-not-sent"));
			connection.close();
		}
	}

	private PeerMessage relayAnswer(PeerMessage.Relay relay) {
		try {
			return this.handler.handle(relay);
		}
		catch (RuntimeException ex) {
			logger.error(Event.named("relayed-request-failed"), ex);
			return unknown("an internal error ended the relayed request");
		}
	}

	private byte[] encodeAnswer(long id, PeerMessage answer) {
		byte[] payload = this.codec.encode(id, answer);
		return (payload.length < PeerFrames.MAXIMUM_BYTES) ? payload
				: this.codec.encode(id, unknown("the answer is larger than a message between hosts may be"));
	}

	private static PeerMessage.Relayed unknown(String detail) {
		return new PeerMessage.Relayed(Problem.unknown(Problem.Code.TARGET_FAILED, detail).toRefusal());
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		this.connections.forEach(PeerConnection::close);
		this.readers.shutdownNow();
		this.relays.shutdownNow();
		this.watchdog.shutdownNow();
	}

	/**
	 * Bounds on threads.
	 *
	 * @param connections the most connections, each with one thread
	 * @param relays the most relayed requests that run at a time; as many more may wait
	 */
	public record Limits(int connections, int relays) {
	}

}
