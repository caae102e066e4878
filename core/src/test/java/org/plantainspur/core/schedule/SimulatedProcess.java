package org.plantainspur.core.schedule;

import java.util.concurrent.CompletableFuture;

import org.plantainspur.core.configuration.AcceptanceTracker;
import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.configuration.ConfigurationFollower;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.configuration.PeerConfigurationFetcher;
import org.plantainspur.core.configuration.SnapshotStore;
import org.plantainspur.core.currency.CurrencyRule;
import org.plantainspur.core.currency.HeartbeatExchange;
import org.plantainspur.core.currency.QuorumCurrencyRule;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.MembershipManager;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.Clock;

/**
 * One host process with its own clock rate. {@link SimulatedFleet} runs its steps.
 */
final class SimulatedProcess {

	private static final int HEARTBEAT_INTERVAL_MILLIS = 500;

	private final SimulatedFleet fleet;

	private final Member member;

	private final Clock clock;

	private final InMemoryChangeTable.Access table;

	private final ConfigurationView view = new ConfigurationView();

	private final ConfigurationFollower follower;

	private final QuorumCurrencyRule rule;

	private final HeartbeatExchange heartbeats;

	private final MembershipManager membershipManager;

	private final PeerConfigurationFetcher configurationFetcher;

	private long readBeganMillis = -1;

	private long highestSequence;

	private boolean stopped;

	SimulatedProcess(SimulatedFleet fleet, Member member, double clockRate) {
		this.fleet = fleet;
		this.member = member;
		this.clock = () -> (long) (fleet.now() * clockRate);
		this.table = fleet.table().access(() -> fleet.canReachPlatform(member.hostId()));
		this.follower = new ConfigurationFollower(this.table, this.view, SnapshotStore.none(),
				this::followerClockMillis);
		this.rule = new QuorumCurrencyRule(this.clock, member, "north");
		this.heartbeats = new HeartbeatExchange(this.clock, this.view, this.follower, this::send, member, this.rule,
				this::newerSequence);
		this.configurationFetcher = new PeerConfigurationFetcher(this.view, this.follower, this::send, fleet.seeds());
		this.membershipManager = new MembershipManager(this.view, this.table, this.heartbeats, this.clock, member);
	}

	String id() {
		return this.member.hostId();
	}

	Member member() {
		return this.member;
	}

	boolean isCurrent() {
		return this.rule.check() instanceof CurrencyRule.Currency.Current;
	}

	long sequence() {
		return this.view.current().sequence();
	}

	ConfigurationView view() {
		return this.view;
	}

	InMemoryChangeTable.Access table() {
		return this.table;
	}

	AcceptanceTracker.Acknowledgement acknowledgement() {
		return new AcceptanceTracker.Acknowledgement(id(), this.member.processId(), sequence());
	}

	void start() {
		this.fleet.schedule(this.fleet.random(HEARTBEAT_INTERVAL_MILLIS), this::performPeriodicTasks);
	}

	void stop() {
		this.stopped = true;
	}

	boolean isStopped() {
		return this.stopped;
	}

	/**
	 * Runs a step of this process now or, if the process is paused, after it resumes. Has
	 * no effect once the process has stopped.
	 * @param step the step to run
	 */
	void run(Runnable step) {
		if (this.stopped) {
			return;
		}
		if (this.fleet.isPaused(id())) {
			this.fleet.schedule(50, () -> run(step));
			return;
		}
		step.run();
		if (sequence() < this.highestSequence) {
			throw new AssertionError(
					id() + " went back from configuration " + this.highestSequence + " to " + sequence());
		}
		this.highestSequence = sequence();
	}

	PeerMessage handle(PeerMessage message) {
		if (message instanceof PeerMessage.Heartbeat heartbeat) {
			return this.heartbeats.answer(heartbeat);
		}
		if (message instanceof PeerMessage.ConfigurationRequest request) {
			return this.follower.answer(request);
		}
		if (message instanceof PeerMessage.ConfigurationPartRequest request) {
			return this.follower.answer(request);
		}
		return new PeerMessage.Unsupported(message.getClass().getSimpleName());
	}

	private void performPeriodicTasks() {
		run(() -> {
			this.configurationFetcher.fetchIfMissing();
			this.heartbeats.sendHeartbeats();
			beginRead();
			this.membershipManager.reconcile();
			this.fleet.schedule(HEARTBEAT_INTERVAL_MILLIS, this::performPeriodicTasks);
		});
	}

	private void beginRead() {
		long began = this.clock.millis();
		long head = this.fleet.table().head();
		if (this.fleet.canReachPlatform(id())) {
			this.fleet.schedule(this.fleet.readDelay(id()), () -> run(() -> endRead(began, head)));
		}
	}

	// A read takes simulated time, but poll() runs in one step when the read ends. So
	// during that step the follower sees the clock and the head as of the start.
	private void endRead(long began, long head) {
		this.readBeganMillis = began;
		this.table.limitVisibleHead(head);
		try {
			this.follower.poll();
		}
		catch (ChangeLog.UnavailableException ex) {
			// The platform became unavailable during the read; the next period reads
			// again.
		}
		finally {
			this.readBeganMillis = -1;
			this.table.limitVisibleHead(Long.MAX_VALUE);
		}
	}

	private long followerClockMillis() {
		return (this.readBeganMillis >= 0) ? this.readBeganMillis : this.clock.millis();
	}

	private void newerSequence(Member peer, long sequence) {
		beginRead();
		this.configurationFetcher.fetch(peer);
	}

	private CompletableFuture<PeerMessage> send(Member peer, PeerMessage message, long timeoutMillis) {
		return this.fleet.send(this, peer, message, timeoutMillis);
	}

}
