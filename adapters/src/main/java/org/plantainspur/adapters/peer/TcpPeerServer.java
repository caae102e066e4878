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
 * Receives and answers messages from other member hosts. Each connection has a thread
 * that reads and handles its messages. Relayed requests may take as long as their
 * deadline, so they run on a separate thread pool and never delay heartbeats. For example
 * <pre>
 * TcpPeerServer server = new TcpPeerServer(address, secret, handler, new TcpPeerServer.Limits(128, 64));
 * </pre>
 */
public final class TcpPeerServer implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(TcpPeerServer.class);

	private static final int HANDSHAKE_TIMEOUT_MILLIS = 2000;

	/**
	 * Time without messages after which a connection is closed, in milliseconds. It is
	 * longer than the idle timeout of the connecting side, so that the accepting side
	 * does not close a connection that is about to be used.
	 */
	private static final int IDLE_TIMEOUT_MILLIS = (int) (PeerChannel.IDLE_TIMEOUT_MILLIS + 30_000);

	private final ServerSocket serverSocket = new ServerSocket();

	private final PeerHandler handler;

	private final PeerCodec codec = new PeerCodec();

	private final PeerHandshake handshake;

	private final Set<PeerConnection> connections = ConcurrentHashMap.newKeySet();

	private final ThreadPoolExecutor readerPool;

	private final ExecutorService relayPool;

	private final ScheduledExecutorService watchdog = PeerThreads.watchdog("peer-server-watchdog");

	/**
	 * Binds the server socket and starts to accept connections.
	 * @param address the address to listen on
	 * @param secret the fleet secret
	 * @param handler returns the answer to each message
	 * @param limits the limits on threads
	 * @throws IOException if the address cannot be bound
	 */
	public TcpPeerServer(InetSocketAddress address, FleetSecret secret, PeerHandler handler, Limits limits)
			throws IOException {
		this.handler = handler;
		this.handshake = new PeerHandshake(secret, this.codec);
		this.readerPool = new ThreadPoolExecutor(0, limits.connections(), 1, TimeUnit.SECONDS, new SynchronousQueue<>(),
				PeerThreads.namedThreads("peer-reader"));
		this.relayPool = PeerThreads.boundedPool("peer-relay", limits.relays(), limits.relays());
		this.serverSocket.setReuseAddress(true);
		this.serverSocket.bind(address);
		PeerThreads.namedThreads("peer-acceptor").newThread(this::acceptConnections).start();
	}

	/**
	 * Returns the port that the server listens on.
	 * @return the TCP port, which the system chose if the address had port 0
	 */
	public int port() {
		return this.serverSocket.getLocalPort();
	}

	private void acceptConnections() {
		while (!this.serverSocket.isClosed()) {
			try {
				startReader(this.serverSocket.accept());
			}
			catch (IOException ex) {
				if (!this.serverSocket.isClosed()) {
					logger.warn(Event.named("peer-accept-failed").with("reason", String.valueOf(ex.getMessage())));
				}
			}
		}
	}

	private void startReader(Socket socket) throws IOException {
		PeerConnection connection = new PeerConnection(socket, this.watchdog);
		try {
			this.readerPool.execute(() -> serve(connection, socket.getRemoteSocketAddress().toString()));
		}
		catch (RejectedExecutionException ex) {
			logger.warn(Event.named("peer-connection-refused")
				.with("peer", String.valueOf(socket.getRemoteSocketAddress()))
				.with("limit", this.readerPool.getMaximumPoolSize()));
			connection.close();
		}
	}

	private void serve(PeerConnection connection, String peer) {
		this.connections.add(connection);
		try (connection) {
			connection.receiveTimeout(HANDSHAKE_TIMEOUT_MILLIS);
			this.handshake.accept(connection.input(), connection.output());
			connection.receiveTimeout(IDLE_TIMEOUT_MILLIS);
			while (!this.serverSocket.isClosed()) {
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
			submitRelay(connection, received.id(), relay);
			return;
		}
		connection.send(this.codec.encode(received.id(), this.handler.handle(received.message())));
	}

	private void submitRelay(PeerConnection connection, long id, PeerMessage.Relay relay) throws IOException {
		try {
			this.relayPool.execute(() -> runRelay(connection, id, relay));
		}
		catch (RejectedExecutionException ex) {
			Problem problem = Problem.notRun(Problem.Code.NO_CAPACITY,
					"this host has reached its limit of concurrent relayed requests");
			connection.send(this.codec.encode(id, new PeerMessage.Relayed(problem.retryAfter(1000).toRefusal())));
		}
	}

	private void runRelay(PeerConnection connection, long id, PeerMessage.Relay relay) {
		try {
			connection.send(encodeAnswer(id, answerRelay(relay)));
		}
		catch (IOException ex) {
			logger.debug(() -> Event.named("relayed-answer-not-sent").with("reason", String.valueOf(ex.getMessage())));
			connection.close();
		}
	}

	private PeerMessage answerRelay(PeerMessage.Relay relay) {
		try {
			return this.handler.handle(relay);
		}
		catch (RuntimeException ex) {
			logger.error(Event.named("relayed-request-failed"), ex);
			return unknownOutcome("an internal error ended the relayed request");
		}
	}

	private byte[] encodeAnswer(long id, PeerMessage answer) {
		byte[] payload = this.codec.encode(id, answer);
		return (payload.length < PeerFrames.MAXIMUM_BYTES) ? payload : this.codec.encode(id,
				unknownOutcome("the answer to the relayed request is too large for a message between hosts"));
	}

	private static PeerMessage.Relayed unknownOutcome(String detail) {
		return new PeerMessage.Relayed(Problem.unknown(Problem.Code.TARGET_FAILED, detail).toRefusal());
	}

	@Override
	public void close() throws IOException {
		this.serverSocket.close();
		this.connections.forEach(PeerConnection::close);
		this.readerPool.shutdownNow();
		this.relayPool.shutdownNow();
		this.watchdog.shutdownNow();
	}

	/**
	 * Limits on the server's threads.
	 *
	 * @param connections the maximum number of connections, each of which has one thread
	 * @param relays the maximum number of relayed requests that run concurrently; as many
	 * more may wait for a thread
	 */
	public record Limits(int connections, int relays) {
	}

}
