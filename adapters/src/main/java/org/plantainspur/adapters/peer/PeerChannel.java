package org.plantainspur.adapters.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.BlockingDeque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.LinkedBlockingDeque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.jspecify.annotations.Nullable;

import org.plantainspur.adapters.log.Event;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.Clock;

/**
 * The outgoing side of the communication with one peer: a bounded queue, a thread that
 * connects and sends, and a thread that receives answers while a connection is open.
 */
final class PeerChannel {

	/** Time without messages after which a channel closes, in milliseconds. */
	static final long IDLE_TIMEOUT_MILLIS = 60_000;

	private static final Logger logger = LogManager.getLogger(PeerChannel.class);

	/** Maximum number of messages in the queue. */
	private static final int QUEUE_CAPACITY = 256;

	/**
	 * Number of queued messages at which further relays are refused. The rest of the
	 * queue is reserved for other messages, which must not fail because of relays.
	 */
	private static final int RELAY_QUEUE_LIMIT = 128;

	private static final int CONNECT_TIMEOUT_MILLIS = 1000;

	private static final long INITIAL_BACKOFF_MILLIS = 50;

	/**
	 * Maximum backoff between connection attempts, in milliseconds. It is well below the
	 * fencing timeout, so that a peer that returns is reconnected before it is removed
	 * from the membership.
	 */
	private static final long MAXIMUM_BACKOFF_MILLIS = 1000;

	private final String address;

	private final PeerCodec codec;

	private final PeerHandshake handshake;

	private final Clock clock;

	private final ScheduledExecutorService watchdog;

	private final BlockingDeque<PendingRequest> queue = new LinkedBlockingDeque<>(QUEUE_CAPACITY);

	private final AtomicBoolean closed = new AtomicBoolean();

	private final AtomicReference<@Nullable Session> session = new AtomicReference<>();

	private long backoffMillis = INITIAL_BACKOFF_MILLIS;

	private long nextAttemptMillis = Long.MIN_VALUE;

	PeerChannel(String address, PeerCodec codec, PeerHandshake handshake, Clock clock,
			ScheduledExecutorService watchdog) {
		this.address = address;
		this.codec = codec;
		this.handshake = handshake;
		this.clock = clock;
		this.watchdog = watchdog;
	}

	/**
	 * Queues a request. If the queue is full, the request fails.
	 * @param request the request to queue
	 * @return {@code false} if this channel is closed and did not take the request
	 */
	boolean offer(PendingRequest request) {
		if (this.closed.get()) {
			return false;
		}
		if (!enqueue(request)) {
			request.fail("no room in the queue for messages to " + this.address);
		}
		else if (this.closed.get()) {
			// close() may have emptied the queue before this request entered it.
			return !this.queue.remove(request);
		}
		return true;
	}

	// Relays are large and may wait, so every other message goes ahead of them. The order
	// of messages does not matter, since each answer carries the id of its request.
	private boolean enqueue(PendingRequest request) {
		if (request.message() instanceof PeerMessage.Relay) {
			return this.queue.size() < RELAY_QUEUE_LIMIT && this.queue.offerLast(request);
		}
		return this.queue.offerFirst(request);
	}

	void run() {
		try {
			PendingRequest request = this.queue.poll(IDLE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			while (request != null && !this.closed.get()) {
				if (!request.answer().isDone()) {
					send(request);
				}
				request = this.queue.poll(IDLE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
			}
			if (request != null) {
				request.fail("the link is closed");
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			close();
		}
	}

	private void send(PendingRequest request) {
		try {
			byte[] payload = this.codec.encode(request.id(), request.message());
			if (payload.length >= PeerFrames.MAXIMUM_BYTES) {
				request.fail("the message of " + payload.length + " bytes is too large for a frame");
				return;
			}
			session().send(request, payload);
		}
		catch (IOException | RuntimeException ex) {
			request.fail("no connection to " + this.address + ": " + ex.getMessage());
		}
	}

	private Session session() throws IOException {
		Session currentSession = this.session.get();
		if (currentSession != null && currentSession.open()) {
			return currentSession;
		}
		if (this.clock.millis() < this.nextAttemptMillis) {
			throw new IOException("the last connection attempt failed less than " + this.backoffMillis + " ms ago");
		}
		try {
			Session opened = connect();
			this.backoffMillis = INITIAL_BACKOFF_MILLIS;
			this.session.set(opened);
			PeerThreads.namedThreads("peer-receiver-" + this.address).newThread(opened::receive).start();
			return opened;
		}
		catch (IOException ex) {
			this.backoffMillis = Math.min(MAXIMUM_BACKOFF_MILLIS, this.backoffMillis * 2);
			// The random part prevents all members from reconnecting to a peer at the
			// same time.
			this.nextAttemptMillis = this.clock.millis()
					+ ThreadLocalRandom.current().nextLong(this.backoffMillis / 2, this.backoffMillis + 1);
			throw ex;
		}
	}

	private Session connect() throws IOException {
		int colon = this.address.lastIndexOf(':');
		Socket socket = new Socket();
		try {
			socket.connect(new InetSocketAddress(this.address.substring(0, colon),
					Integer.parseInt(this.address.substring(colon + 1))), CONNECT_TIMEOUT_MILLIS);
			PeerConnection connection = new PeerConnection(socket, this.watchdog);
			connection.receiveTimeout(CONNECT_TIMEOUT_MILLIS);
			this.handshake.connect(connection.input(), connection.output());
			connection.receiveTimeout(0);
			return new Session(connection);
		}
		catch (IOException | RuntimeException ex) {
			socket.close();
			throw ex;
		}
	}

	void close() {
		this.closed.set(true);
		Session currentSession = this.session.get();
		if (currentSession != null) {
			currentSession.end("the link is closed");
		}
		for (PendingRequest request = this.queue.poll(); request != null; request = this.queue.poll()) {
			request.fail("the link is closed");
		}
	}

	/**
	 * A request that waits to be sent or waits for its answer.
	 *
	 * @param id the correlation id, which the answer repeats
	 * @param message the message to send
	 * @param answer completes with the peer's answer, or exceptionally if none can arrive
	 */
	record PendingRequest(long id, PeerMessage message, CompletableFuture<PeerMessage> answer) {

		void fail(String reason) {
			this.answer.completeExceptionally(new IOException(reason));
		}

	}

	/**
	 * One open connection and the requests that wait for an answer on it.
	 */
	private final class Session {

		private final PeerConnection connection;

		private final ConcurrentMap<Long, PendingRequest> requestsById = new ConcurrentHashMap<>();

		private final AtomicBoolean ended = new AtomicBoolean();

		Session(PeerConnection connection) {
			this.connection = connection;
		}

		boolean open() {
			return !this.ended.get();
		}

		void send(PendingRequest request, byte[] payload) {
			this.requestsById.put(request.id(), request);
			request.answer().whenComplete((answer, failure) -> this.requestsById.remove(request.id()));
			try {
				this.connection.send(payload);
			}
			catch (IOException ex) {
				end(String.valueOf(ex.getMessage()));
			}
			if (this.ended.get()) {
				request.fail("the connection to " + PeerChannel.this.address + " ended");
			}
		}

		void receive() {
			try {
				while (open()) {
					deliver(PeerChannel.this.codec.decode(this.connection.receive()));
				}
			}
			catch (PeerProtocolException ex) {
				logger.warn(Event.named("peer-protocol-fault")
					.with("peer", PeerChannel.this.address)
					.with("reason", String.valueOf(ex.getMessage())));
				end(String.valueOf(ex.getMessage()));
			}
			catch (IOException | RuntimeException ex) {
				end(String.valueOf(ex.getMessage()));
			}
		}

		private void deliver(PeerCodec.Decoded decoded) {
			PendingRequest request = this.requestsById.remove(decoded.id());
			if (request == null) {
				logger.debug(() -> Event.named("late-answer-dropped").with("peer", PeerChannel.this.address));
			}
			else if (decoded instanceof PeerCodec.Decoded.Message message) {
				request.answer().complete(message.message());
			}
			else {
				request.fail("the answer has a message type that this host does not know: " + decoded);
			}
		}

		void end(String reason) {
			this.ended.set(true);
			this.connection.close();
			this.requestsById.values()
				.forEach((request) -> request
					.fail("the connection to " + PeerChannel.this.address + " ended: " + reason));
		}

	}

}
