package org.plantainspur.adapters.peer;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerLink;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.Clock;

/**
 * Sends messages to other member hosts, over one TCP connection to each. Sending never
 * blocks the caller: the message is queued for the sender thread of its peer. The answer
 * fails immediately if the queue is full. During the backoff after a failed connection
 * attempt, it fails as soon as the sender thread takes the message.
 */
public final class TcpPeerLink implements PeerLink, AutoCloseable {

	private final PeerCodec codec = new PeerCodec();

	private final PeerHandshake handshake;

	private final Clock clock;

	private final AtomicLong lastRequestId = new AtomicLong();

	private final ConcurrentMap<String, PeerChannel> channels = new ConcurrentHashMap<>();

	private final ScheduledExecutorService watchdog = PeerThreads.watchdog("peer-link-watchdog");

	private volatile boolean closed;

	/**
	 * Creates a link.
	 * @param secret the fleet secret
	 * @param clock the process clock
	 */
	public TcpPeerLink(FleetSecret secret, Clock clock) {
		this.handshake = new PeerHandshake(secret, this.codec);
		this.clock = clock;
	}

	@Override
	public CompletableFuture<PeerMessage> ask(Member member, PeerMessage message, long timeoutMillis) {
		PeerChannel.PendingRequest request = new PeerChannel.PendingRequest(this.lastRequestId.incrementAndGet(),
				message, new CompletableFuture<>());
		request.answer().orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
		while (!this.closed) {
			PeerChannel channel = this.channels.computeIfAbsent(member.peerAddress(), this::open);
			if (channel.offer(request)) {
				return request.answer();
			}
			// The channel has just closed after its idle timeout; the next iteration
			// opens a new one.
			this.channels.remove(member.peerAddress(), channel);
		}
		request.fail("the link is closed");
		return request.answer();
	}

	private PeerChannel open(String address) {
		PeerChannel channel = new PeerChannel(address, this.codec, this.handshake, this.clock, this.watchdog);
		PeerThreads.namedThreads("peer-sender-" + address).newThread(channel::run).start();
		return channel;
	}

	@Override
	public void close() {
		this.closed = true;
		this.channels.values().forEach(PeerChannel::close);
		this.channels.clear();
		this.watchdog.shutdownNow();
	}

}
