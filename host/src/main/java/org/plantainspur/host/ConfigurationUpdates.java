package org.plantainspur.host;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.plantainspur.adapters.log.Event;
import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.configuration.ConfigurationFollower;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.configuration.PeerConfigurationFetcher;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerLink;
import org.plantainspur.core.peer.PeerMessage;

/**
 * Reads new changes on a thread of its own: at a fixed interval, and at once when another
 * member tells of one. Tells the other members of what it has read.
 */
final class ConfigurationUpdates implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(ConfigurationUpdates.class);

	private static final long NUDGE_TIMEOUT_MILLIS = 1000;

	/** Above this number of members a nudge to each would cost too much. */
	private static final int MAXIMUM_NUDGED = 64;

	private final ConfigurationFollower follower;

	private final PeerConfigurationFetcher peers;

	private final ConfigurationView view;

	private final PeerLink link;

	private final Member self;

	private final AtomicLong noticed = new AtomicLong();

	private final AtomicBoolean pollDue = new AtomicBoolean();

	private final AtomicBoolean unavailable = new AtomicBoolean();

	private final ScheduledExecutorService executor = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "configuration-updates"));

	ConfigurationUpdates(ConfigurationFollower follower, PeerConfigurationFetcher peers, ConfigurationView view,
			PeerLink link, Member self) {
		this.follower = follower;
		this.peers = peers;
		this.view = view;
		this.link = link;
		this.self = self;
	}

	void start(PlatformPolls polls) {
		polls.repeat(this.executor, this::poll);
	}

	/**
	 * Takes word of a newer sequence number. Asks the member as well as the platform,
	 * since the platform may be unavailable. In a large fleet only the member is asked:
	 * all members learn of a change within one heartbeat, and as many reads at once would
	 * be more than the platform handles.
	 * @param member the member that has it
	 * @param sequence the sequence number
	 */
	void noticed(Member member, long sequence) {
		if (this.noticed.getAndAccumulate(sequence, Math::max) < sequence) {
			this.peers.fetch(member);
			if (this.view.current().membership().members().size() <= MAXIMUM_NUDGED) {
				this.executor.execute(this::poll);
			}
		}
		else if (this.unavailable.get()) {
			this.peers.fetch(member);
		}
	}

	/**
	 * Takes a nudge.
	 * @param sequence the sequence number that it names
	 */
	void nudged(long sequence) {
		if (sequence > this.view.current().sequence()
				&& this.noticed.getAndAccumulate(sequence, Math::max) < sequence) {
			this.executor.execute(this::poll);
		}
	}

	/**
	 * Reads the platform without waiting for the interval. While such a read is due,
	 * further calls have no effect, so calls in quick succession cost the platform
	 * little.
	 */
	void pollSoon() {
		if (this.pollDue.compareAndSet(false, true)) {
			this.executor.execute(() -> {
				this.pollDue.set(false);
				poll();
			});
		}
	}

	private void poll() {
		long before = this.view.current().sequence();
		try {
			this.follower.poll();
			if (this.unavailable.compareAndSet(true, false)) {
				logger.info(Event.named("platform-available"));
			}
		}
		catch (ChangeLog.UnavailableException ex) {
			if (this.unavailable.compareAndSet(false, true)) {
				logger.warn(Event.named("platform-unavailable").with("reason", String.valueOf(ex.getMessage())));
			}
		}
		catch (RuntimeException ex) {
			logger.error(Event.named("poll-failed"), ex);
		}
		long after = this.view.current().sequence();
		if (after > before && before > 0) {
			nudge(after);
		}
	}

	private void nudge(long sequence) {
		var members = this.view.current().membership().members();
		if (members.size() > MAXIMUM_NUDGED || this.noticed.getAndAccumulate(sequence, Math::max) >= sequence) {
			return;
		}
		members.stream()
			.filter((member) -> !member.hostId().equals(this.self.hostId()))
			.forEach((member) -> this.link.ask(member, new PeerMessage.Nudge(sequence), NUDGE_TIMEOUT_MILLIS));
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

}
