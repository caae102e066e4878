package org.plantainspur.core.schedule;

import java.util.concurrent.CompletableFuture;

import org.plantainspur.core.configuration.AcceptanceTracker;
import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.configuration.ConfigurationFollower;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.configuration.PeerConfiguration;
import org.plantainspur.core.configuration.SnapshotStore;
import org.plantainspur.core.currency.CurrencyRule;
import org.plantainspur.core.currency.HeartbeatExchange;
import org.plantainspur.core.currency.QuorumCurrencyRule;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.MembershipKeeper;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.Clock;

/**
 * One process with its own clock rate, driven by the fleet.
 */
final class FakeHost {

	private static final int HEARTBEAT_MILLIS = 500;

	private final Fleet fleet;

	private final Member member;

	private final Clock clock;

	private final FakeTable.Access table;

	private final ConfigurationView view = new ConfigurationView();

	private final ConfigurationFollower follower;

	private final QuorumCurrencyRule rule;

	private final HeartbeatExchange heartbeats;

	private final MembershipKeeper keeper;

	private final PeerConfiguration peers;

	private long readBeganMillis = -1;

	private long highestSequence;

	private boolean stopped;

	FakeHost(Fleet fleet, Member member, double clockRate) {
		this.fleet = fleet;
		this.member = member;
		this.clock = () -> (long) (fleet.now() * clockRate);
		this.table = fleet.table().access(() -> fleet.reachesPlatform(member.hostId()));
		this.follower = new ConfigurationFollower(this.table, this.view, SnapshotStore.none(), this::followerMillis);
		this.rule = new QuorumCurrencyRule(this.clock, member, "north");
		this.heartbeats = new HeartbeatExchange(this.clock, this.view, this.follower, this::ask, member, this.rule,
				this::newer);
		this.peers = new PeerConfiguration(this.view, this.follower, this::ask, fleet.seeds());
		this.keeper = new MembershipKeeper(this.view, this.table, this.heartbeats, this.clock, member);
	}

	String id() {
		return this.member.hostId();
	}

	Member member() {
		return this.member;
	}

	boolean current() {
		return this.rule.check() instanceof CurrencyRule.Currency.Current;
	}

	long sequence() {
		return this.view.current().sequence();
	}

	ConfigurationView view() {
		return this.view;
	}

	FakeTable.Access table() {
		return this.table;
	}

	AcceptanceTracker.Acknowledgement acknowledgement() {
		return new AcceptanceTracker.Acknowledgement(id(), this.member.processId(), sequence());
	}

	void start() {
		this.fleet.later(this.fleet.random(HEARTBEAT_MILLIS), this::beat);
	}

	void stop() {
		this.stopped = true;
	}

	boolean stopped() {
		return this.stopped;
	}

	void run(Runnable step) {
		if (this.stopped) {
			return;
		}
		if (this.fleet.frozen(id())) {
			this.fleet.later(50, () -> run(step));
			return;
		}
		step.run();
		if (sequence() < this.highestSequence) {
			throw new AssertionError(id() + " went back from " + this.highestSequence + " to " + sequence());
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

	private void beat() {
		run(() -> {
			this.peers.tick();
			this.heartbeats.tick();
			beginRead();
			this.keeper.tick();
			this.fleet.later(HEARTBEAT_MILLIS, this::beat);
		});
	}

	private void beginRead() {
		long began = this.clock.millis();
		long head = this.fleet.table().head();
		if (this.fleet.reachesPlatform(id())) {
			this.fleet.later(this.fleet.readDelay(id()), () -> run(() -> endRead(began, head)));
		}
	}

	private void endRead(long began, long head) {
		this.readBeganMillis = began;
		this.table.showOnly(head);
		try {
			this.follower.poll();
		}
		catch (ChangeLog.UnavailableException ex) {
			// The platform became unavailable during the read; the next beat reads again.
		}
		finally {
			this.readBeganMillis = -1;
			this.table.showOnly(Long.MAX_VALUE);
		}
	}

	private long followerMillis() {
		return (this.readBeganMillis >= 0) ? this.readBeganMillis : this.clock.millis();
	}

	private void newer(Member peer, long sequence) {
		beginRead();
		this.peers.fetch(peer);
	}

	private CompletableFuture<PeerMessage> ask(Member peer, PeerMessage message, long timeoutMillis) {
		return this.fleet.send(this, peer, message, timeoutMillis);
	}

}
