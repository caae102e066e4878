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
 * Sends messages to other members, over one connection to each. Asking never blocks: the
 * message is queued for the peer's own sender, or the answer fails at once if the queue
 * is full or the peer could not be reached a moment ago.
 */
public final class TcpPeerLink implements PeerLink, AutoCloseable {

	private final PeerCodec codec = new PeerCodec();

	private final PeerHandshake handshake;

	private final Clock clock;

	private final AtomicLong ids = new AtomicLong();

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
		PeerChannel.Ask ask = new PeerChannel.Ask(this.ids.incrementAndGet(), message, new CompletableFuture<>());
		ask.answer().orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
		while (!this.closed) {
			PeerChannel channel = this.channels.computeIfAbsent(member.peerAddress(), this::open);
			if (channel.offer(ask)) {
				return ask.answer();
			}
			// The channel was given up as idle in this moment; the next one is new.
			this.channels.remove(member.peerAddress(), channel);
		}
		ask.fail("the link is closed");
		return ask.answer();
	}

	private PeerChannel open(String address) {
		PeerChannel channel = new PeerChannel(address, this.codec, this.handshake, this.clock, this.watchdog);
		PeerThreads.named("peer-sender-" + address).newThread(channel::run).start();
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
