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
 * Reads new configuration changes from the platform on a thread of its own: at a regular
 * interval, and at once when another member has a newer one. After a read that brought
 * changes, sends the other members a nudge: a message with the new sequence number, on
 * which they read the platform too.
 */
final class ConfigurationPoller implements AutoCloseable {

	private static final Logger logger = LogManager.getLogger(ConfigurationPoller.class);

	private static final long NUDGE_TIMEOUT_MILLIS = 1000;

	/**
	 * The largest fleet whose members send each other nudges and read the platform early.
	 * In a larger fleet, one message and one read for each member would cost too much.
	 */
	private static final int MAXIMUM_NUDGED_MEMBERS = 64;

	private final ConfigurationFollower follower;

	private final PeerConfigurationFetcher configurationFetcher;

	private final ConfigurationView view;

	private final PeerLink link;

	private final Member self;

	private final AtomicLong newestKnownSequence = new AtomicLong();

	private final AtomicBoolean pollPending = new AtomicBoolean();

	private final AtomicBoolean platformUnavailable = new AtomicBoolean();

	private final ScheduledExecutorService executor = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "configuration-updates"));

	ConfigurationPoller(ConfigurationFollower follower, PeerConfigurationFetcher configurationFetcher,
			ConfigurationView view, PeerLink link, Member self) {
		this.follower = follower;
		this.configurationFetcher = configurationFetcher;
		this.view = view;
		this.link = link;
		this.self = self;
	}

	void start(PlatformPollScheduler scheduler) {
		scheduler.repeat(this.executor, this::poll);
	}

	/**
	 * Fetches the changes up to a newer sequence number that another member has. Asks the
	 * member as well as the platform, since the platform may be unavailable. In a fleet
	 * of more than {@value #MAXIMUM_NUDGED_MEMBERS} members only the member is asked: all
	 * members learn of a change within one heartbeat, and the platform cannot handle that
	 * many reads at once. A sequence number that is already known has no effect unless
	 * the platform is unavailable.
	 * @param member the member that has the newer configuration
	 * @param sequence the sequence number of its newest change
	 */
	void onNewerSequence(Member member, long sequence) {
		if (this.newestKnownSequence.getAndAccumulate(sequence, Math::max) < sequence) {
			this.configurationFetcher.fetch(member);
			if (this.view.current().membership().members().size() <= MAXIMUM_NUDGED_MEMBERS) {
				this.executor.execute(this::poll);
			}
		}
		else if (this.platformUnavailable.get()) {
			this.configurationFetcher.fetch(member);
		}
	}

	/**
	 * Reads the platform at once if a nudge names a sequence number that is newer than
	 * any known one.
	 * @param sequence the sequence number in the nudge
	 */
	void onNudge(long sequence) {
		if (sequence > this.view.current().sequence()
				&& this.newestKnownSequence.getAndAccumulate(sequence, Math::max) < sequence) {
			this.executor.execute(this::poll);
		}
	}

	/**
	 * Reads the platform without waiting for the interval. While such a read is queued,
	 * further calls have no effect, so that many calls in quick succession cause few
	 * reads.
	 */
	void pollSoon() {
		if (this.pollPending.compareAndSet(false, true)) {
			this.executor.execute(() -> {
				this.pollPending.set(false);
				poll();
			});
		}
	}

	private void poll() {
		long before = this.view.current().sequence();
		try {
			this.follower.poll();
			if (this.platformUnavailable.compareAndSet(true, false)) {
				logger.info(Event.named("platform-available"));
			}
		}
		catch (ChangeLog.UnavailableException ex) {
			if (this.platformUnavailable.compareAndSet(false, true)) {
				logger.warn(Event.named("platform-unavailable").with("reason", String.valueOf(ex.getMessage())));
			}
		}
		catch (RuntimeException ex) {
			logger.error(Event.named("poll-failed"), ex);
		}
		long after = this.view.current().sequence();
		// The first read of a new process only catches up with the other members.
		if (after > before && before > 0) {
			nudgeOthers(after);
		}
	}

	private void nudgeOthers(long sequence) {
		// A sequence number that came from another member is not announced again.
		var members = this.view.current().membership().members();
		if (members.size() > MAXIMUM_NUDGED_MEMBERS
				|| this.newestKnownSequence.getAndAccumulate(sequence, Math::max) >= sequence) {
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
