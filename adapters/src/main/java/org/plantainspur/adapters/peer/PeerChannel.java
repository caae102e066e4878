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
 * The way to one peer: a bounded queue, a thread that connects and sends, and a thread
 * that receives answers while there is a connection.
 */
final class PeerChannel {

	/** A channel without messages for this long is given up, in milliseconds. */
	static final long IDLE_MILLIS = 60_000;

	private static final Logger logger = LogManager.getLogger(PeerChannel.class);

	private static final int QUEUED = 256;

	/** Leaves places in the queue for messages that must not fail because of relays. */
	private static final int QUEUED_WITH_RELAYS = 128;

	private static final int CONNECT_TIMEOUT_MILLIS = 1000;

	private static final long FIRST_BACKOFF_MILLIS = 50;

	/**
	 * The longest wait between attempts to connect, in milliseconds. It is well below the
	 * fencing timeout, so that a peer that returns is heard before it is removed.
	 */
	private static final long LAST_BACKOFF_MILLIS = 1000;

	private final String address;

	private final PeerCodec codec;

	private final PeerHandshake handshake;

	private final Clock clock;

	private final ScheduledExecutorService watchdog;

	private final BlockingDeque<Ask> queue = new LinkedBlockingDeque<>(QUEUED);

	private final AtomicBoolean closed = new AtomicBoolean();

	private final AtomicReference<@Nullable Session> session = new AtomicReference<>();

	private long backoffMillis = FIRST_BACKOFF_MILLIS;

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
	 * Queues a message, or fails it if the queue is full.
	 * @param ask the message
	 * @return {@code false} if this channel was given up
	 */
	boolean offer(Ask ask) {
		if (this.closed.get()) {
			return false;
		}
		if (!enqueue(ask)) {
			ask.fail("too many messages wait for " + this.address);
		}
		else if (this.closed.get()) {
			// The sender may have emptied the queue before this message entered it.
			return !this.queue.remove(ask);
		}
		return true;
	}

	// Relays are large and may wait; every other message goes ahead of them. The order
	// among messages has no meaning, since each answer names its request.
	private boolean enqueue(Ask ask) {
		if (ask.message() instanceof PeerMessage.Relay) {
			return this.queue.size() < QUEUED_WITH_RELAYS && this.queue.offerLast(ask);
		}
		return this.queue.offerFirst(ask);
	}

	void run() {
		try {
			Ask ask = this.queue.poll(IDLE_MILLIS, TimeUnit.MILLISECONDS);
			while (ask != null && !this.closed.get()) {
				if (!ask.answer().isDone()) {
					send(ask);
				}
				ask = this.queue.poll(IDLE_MILLIS, TimeUnit.MILLISECONDS);
			}
			if (ask != null) {
				ask.fail("the link is closed");
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			close();
		}
	}

	private void send(Ask ask) {
		try {
			byte[] payload = this.codec.encode(ask.id(), ask.message());
			if (payload.length >= PeerFrames.MAXIMUM_BYTES) {
				ask.fail("the message is larger than a frame may be");
				return;
			}
			session().send(ask, payload);
		}
		catch (IOException | RuntimeException ex) {
			ask.fail("no connection to " + this.address + ": " + ex.getMessage());
		}
	}

	private Session session() throws IOException {
		Session present = this.session.get();
		if (present != null && present.open()) {
			return present;
		}
		if (this.clock.millis() < this.nextAttemptMillis) {
			throw new IOException("the last attempt failed less than " + this.backoffMillis + " ms ago");
		}
		try {
			Session opened = connect();
			this.backoffMillis = FIRST_BACKOFF_MILLIS;
			this.session.set(opened);
			PeerThreads.named("peer-receiver-" + this.address).newThread(opened::receive).start();
			return opened;
		}
		catch (IOException ex) {
			this.backoffMillis = Math.min(LAST_BACKOFF_MILLIS, this.backoffMillis * 2);
			// The random part keeps all members from connecting at once to a peer that
			// returns.
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
		Session present = this.session.get();
		if (present != null) {
			present.end("the link is closed");
		}
		for (Ask ask = this.queue.poll(); ask != null; ask = this.queue.poll()) {
			ask.fail("the link is closed");
		}
	}

	/**
	 * A message that waits for its answer.
	 *
	 * @param id the correlation
	 * @param message the message
	 * @param answer completes with the answer
	 */
	record Ask(long id, PeerMessage message, CompletableFuture<PeerMessage> answer) {

		void fail(String reason) {
			this.answer.completeExceptionally(new IOException(reason));
		}

	}

	/**
	 * One connection and the messages that wait for an answer on it.
	 */
	private final class Session {

		private final PeerConnection connection;

		private final ConcurrentMap<Long, Ask> waiting = new ConcurrentHashMap<>();

		private final AtomicBoolean ended = new AtomicBoolean();

		Session(PeerConnection connection) {
			this.connection = connection;
		}

		boolean open() {
			return !this.ended.get();
		}

		void send(Ask ask, byte[] payload) {
			this.waiting.put(ask.id(), ask);
			ask.answer().whenComplete((answer, failure) -> this.waiting.remove(ask.id()));
			try {
				this.connection.send(payload);
			}
			catch (IOException ex) {
				end(String.valueOf(ex.getMessage()));
			}
			if (this.ended.get()) {
				ask.fail("the connection to " + PeerChannel.this.address + " ended");
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
			Ask ask = this.waiting.remove(decoded.id());
			if (ask == null) {
				logger.debug(() -> Event.named("late-answer-dropped").with("peer", PeerChannel.this.address));
			}
			else if (decoded instanceof PeerCodec.Decoded.Message message) {
				ask.answer().complete(message.message());
			}
			else {
				ask.fail("the peer sent an answer of an unknown type");
			}
		}

		void end(String reason) {
			this.ended.set(true);
			this.connection.close();
			this.waiting.values()
				.forEach((ask) -> ask.fail("the connection to " + PeerChannel.this.address + " ended: " + reason));
		}

	}

}
