package org.plantainspur.core.membership;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.configuration.AcceptanceTracker;
import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.currency.HeardMember;
import org.plantainspur.core.currency.HeartbeatExchange;
import org.plantainspur.core.time.Clock;

/**
 * Joins the fleet, rejoins it after a removal, resigns from it, and removes silent
 * members when this host is the coordinator of membership. The host calls {@link #tick()}
 * after each poll from one thread. Every write names the head it follows and is decided
 * again at the next tick, so a lost reply needs no other handling.
 */
public final class MembershipKeeper {

	private static final String COORDINATED = "membership";

	/** The most appends of one request for a seat at one tick. */
	private static final int REQUEST_TRIES = 5;

	private final ConfigurationView view;

	private final ChangeLog log;

	private final HeartbeatExchange heartbeats;

	private final Clock clock;

	private final Member self;

	private final RendezvousHomeHosts ranking = new RendezvousHomeHosts();

	private final AtomicBoolean resigning = new AtomicBoolean();

	private final AtomicBoolean joined = new AtomicBoolean();

	private final AtomicReference<Settling> settling = new AtomicReference<>(new Settling(0, 0));

	private final SeatBackoff seatBackoff = new SeatBackoff();

	private final AtomicReference<State> state = new AtomicReference<>(State.JOINING);

	/**
	 * Creates the keeper.
	 * @param view the configuration in force
	 * @param log the sequence of changes
	 * @param heartbeats what this host hears
	 * @param clock the process clock
	 * @param self this process
	 */
	public MembershipKeeper(ConfigurationView view, ChangeLog log, HeartbeatExchange heartbeats, Clock clock,
			Member self) {
		this.view = view;
		this.log = log;
		this.heartbeats = heartbeats;
		this.clock = clock;
		this.self = self;
	}

	/**
	 * Does what is due, at most one write.
	 * @return the state of this process
	 */
	public State tick() {
		Configuration configuration = this.view.current();
		Member present = configuration.membership().member(this.self.hostId());
		if (present != null && isSelf(present)) {
			this.joined.set(true);
			this.state.set(present.resigned() ? State.RESIGNED : State.MEMBER);
			serve(configuration, present);
		}
		else if (present != null && this.joined.get()) {
			this.state.set(State.REPLACED);
		}
		else if (this.resigning.get()) {
			this.state.set(State.RESIGNED);
		}
		else {
			if (this.state.getAndSet(State.JOINING) == State.MEMBER) {
				this.seatBackoff.lost(this.clock.millis());
			}
			join(configuration);
		}
		return this.state.get();
	}

	/**
	 * Makes this process resign at the next tick that can write.
	 */
	public void resign() {
		this.resigning.set(true);
		this.heartbeats.leave();
	}

	/**
	 * Returns the state as of the last tick.
	 * @return the state
	 */
	public State state() {
		return this.state.get();
	}

	/**
	 * Returns whether this host coordinates the membership now: every member before it in
	 * the order of precedence is silent.
	 * @return whether this host removes silent members and writes snapshots
	 */
	public boolean coordinates() {
		Membership membership = this.view.current().membership();
		for (Member member : this.ranking.order(COORDINATED, membership)) {
			if (member.hostId().equals(this.self.hostId())) {
				return isSelf(member);
			}
			if (!heardByTooFew(membership, member)) {
				return false;
			}
		}
		return false;
	}

	private void serve(Configuration configuration, Member present) {
		if (this.resigning.get() && !present.resigned()) {
			append(configuration, "resign", new Change.MemberResigned(this.self.hostId(), this.self.processId()));
		}
		else if (coordinates() && !removeSilent(configuration) && !admit(configuration)) {
			settle(configuration);
		}
	}

	private void join(Configuration configuration) {
		Membership membership = configuration.membership();
		boolean first = membership.size() == 0 && settled(membership);
		if (membership.hasSeat(this.self) || first) {
			append(configuration, "join", new Change.MemberJoined(this.self));
		}
		else if (!this.seatBackoff.over(this.clock.millis())) {
			return;
		}
		else if (!membership.waiting().contains(this.self)) {
			requestSeat(configuration);
		}
		else if (membership.waiting().get(0).equals(this.self)) {
			// The coordinator may be unable to reach the platform.
			admit(configuration);
		}
	}

	// The request depends on no other change, so it may follow any head. Many hosts that
	// start together would otherwise wait for each other's polls.
	private void requestSeat(Configuration configuration) {
		String changeId = changeId(configuration, "wait");
		long head = configuration.sequence();
		for (int i = 0; i < REQUEST_TRIES; i++) {
			ChangeLog.AppendResult result = this.log.append(head, changeId, new Change.JoinRequested(this.self));
			if (!(result instanceof ChangeLog.AppendResult.HeadMoved moved)) {
				return;
			}
			head = moved.head();
		}
	}

	// The present members stay a majority, so new members that end at once cannot keep a
	// change from being accepted; a single member admits one. The number of members
	// doubles with each change of seats.
	private boolean admit(Configuration configuration) {
		Membership membership = configuration.membership();
		int most = Math.max(1, membership.size() - 1);
		List<Member> next = membership.waiting().stream().limit(most).toList();
		boolean due = !next.isEmpty() && settled(membership);
		if (due) {
			append(configuration, "admit", new Change.MembersAdmitted(next));
		}
		return due;
	}

	private boolean removeSilent(Configuration configuration) {
		Membership membership = configuration.membership();
		List<Member> silent = membership.members()
			.stream()
			.filter((member) -> heardByTooFew(membership, member))
			.toList();
		boolean due = !silent.isEmpty() && settled(membership);
		if (due) {
			append(configuration, "remove", new Change.MembersRemoved(silent));
		}
		return due;
	}

	// Acceptance needs the earlier members and a wait for processes that lost their seat
	// only until this is written.
	private void settle(Configuration configuration) {
		Membership membership = configuration.membership();
		long seats = membership.seatSequence();
		long now = this.clock.millis();
		if (!settled(membership)) {
			this.settling.set(new Settling(0, now));
			return;
		}
		Settling since = this.settling
			.updateAndGet((before) -> (before.seatSequence() == seats) ? before : new Settling(seats, now));
		boolean open = !membership.previousMembers().isEmpty() || membership.departureSequence() > 0;
		if (open && now - since.sinceMillis() >= AcceptanceTracker.FENCING_WAIT_MILLIS) {
			append(configuration, "settle", new Change.SeatsSettled(seats));
		}
	}

	// Returns whether more than half of all members report the member as silent; the
	// evidence of one host, this one included, is never enough.
	private boolean heardByTooFew(Membership membership, Member member) {
		return Majority.moreThanHalf(membership.members(), (witness) -> reportsSilent(witness, member.hostId()));
	}

	private boolean reportsSilent(Member witness, String hostId) {
		if (isSelf(witness)) {
			return this.heartbeats.silentHosts().contains(hostId);
		}
		HeardMember heard = this.heartbeats.heard(witness.hostId());
		return heard != null && heard.silentHosts().contains(hostId);
	}

	// Returns whether the last change of seats is known to a majority of the members
	// before it and of those after it. Only then may seats change again: a majority of an
	// older membership could otherwise miss every majority of the newest one.
	private boolean settled(Membership membership) {
		return Majority.moreThanHalf(membership.members(), (member) -> knows(member, membership.seatSequence()))
				&& Majority.moreThanHalf(membership.previousMembers(),
						(member) -> knows(member, membership.seatSequence()));
	}

	private boolean knows(Member member, long sequence) {
		if (isSelf(member)) {
			return true;
		}
		HeardMember heard = this.heartbeats.heard(member.hostId());
		return heard != null && heard.sequence() >= sequence;
	}

	private boolean isSelf(Member member) {
		return member.hostId().equals(this.self.hostId()) && member.processId().equals(this.self.processId());
	}

	private void append(Configuration configuration, String what, Change change) {
		this.log.append(configuration.sequence(), changeId(configuration, what), change);
	}

	private String changeId(Configuration configuration, String what) {
		return what + "-" + this.self.processId() + "-" + configuration.sequence();
	}

	/**
	 * The standing of this process.
	 */
	public enum State {

		/** The process is not yet a member, or was removed. */
		JOINING,

		/** The process is a member. */
		MEMBER,

		/** The process has given up its shares and is about to stop. */
		RESIGNED,

		/** Another process has taken this host's place; this one must stop. */
		REPLACED

	}

	private record Settling(long seatSequence, long sinceMillis) {
	}

}
