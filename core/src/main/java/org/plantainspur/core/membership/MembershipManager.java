package org.plantainspur.core.membership;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.configuration.AcceptanceTracker;
import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.currency.HeartbeatExchange;
import org.plantainspur.core.currency.HeartbeatResponse;
import org.plantainspur.core.time.Clock;

/**
 * Manages the membership of this process: joins the fleet, rejoins it after a removal and
 * resigns from it. On the host that coordinates the membership it also removes members
 * that a majority reports as silent, admits waiting processes and settles changes of
 * seats. The host calls {@link #reconcile()} every 250 ms from one thread. A lost reply
 * to an append needs no handling: an append has no effect if another change came first,
 * and each call decides anew what to append.
 */
public final class MembershipManager {

	private static final String COORDINATOR_DUTY = "membership";

	/**
	 * How often one call of {@link #reconcile()} tries to append a request for a seat. A
	 * try fails if another change was appended first.
	 */
	private static final int MAXIMUM_SEAT_REQUEST_TRIES = 5;

	private final ConfigurationView view;

	private final ChangeLog log;

	private final HeartbeatExchange heartbeats;

	private final Clock clock;

	private final Member self;

	private final RendezvousHostAssignment hostAssignment = new RendezvousHostAssignment();

	private final AtomicBoolean resigning = new AtomicBoolean();

	private final AtomicBoolean joinedOnce = new AtomicBoolean();

	private final AtomicReference<KnownSeatChange> knownSeatChange = new AtomicReference<>(new KnownSeatChange(0, 0));

	private final SeatBackoff seatBackoff = new SeatBackoff();

	private final AtomicReference<State> state = new AtomicReference<>(State.JOINING);

	/**
	 * Creates the manager.
	 * @param view the configuration in force
	 * @param log the sequence of changes
	 * @param heartbeats the heartbeat responses of the other members
	 * @param clock the process clock
	 * @param self this process
	 */
	public MembershipManager(ConfigurationView view, ChangeLog log, HeartbeatExchange heartbeats, Clock clock,
			Member self) {
		this.view = view;
		this.log = log;
		this.heartbeats = heartbeats;
		this.clock = clock;
		this.self = self;
	}

	/**
	 * Compares the membership in force with the intended state of this process and of the
	 * fleet, and appends at most one change.
	 * @return the state of this process as of the membership in force
	 */
	public State reconcile() {
		Configuration configuration = this.view.current();
		Member current = configuration.membership().member(this.self.hostId());
		if (current != null && isSelf(current)) {
			this.joinedOnce.set(true);
			this.state.set(current.resigned() ? State.RESIGNED : State.MEMBER);
			reconcileMember(configuration, current);
		}
		else if (current != null && this.joinedOnce.get()) {
			this.state.set(State.REPLACED);
		}
		else if (this.resigning.get()) {
			this.state.set(State.RESIGNED);
		}
		else {
			if (this.state.getAndSet(State.JOINING) == State.MEMBER) {
				this.seatBackoff.recordLoss(this.clock.millis());
			}
			joinOrRequestSeat(configuration);
		}
		return this.state.get();
	}

	/**
	 * Announces to other members that this process is about to stop. The next call of
	 * {@link #reconcile()} that reaches the platform writes the resignation.
	 */
	public void resign() {
		this.resigning.set(true);
		this.heartbeats.announceLeaving();
	}

	/**
	 * Returns the state as of the last call of {@link #reconcile()}.
	 * @return the state
	 */
	public State state() {
		return this.state.get();
	}

	/**
	 * Returns whether this host coordinates the membership now. It does if a majority of
	 * the members reports every member before it in the order of precedence as silent.
	 * @return whether this host is the coordinator, which removes silent members and
	 * writes snapshots
	 */
	public boolean isCoordinator() {
		Membership membership = this.view.current().membership();
		for (Member member : this.hostAssignment.precedence(COORDINATOR_DUTY, membership)) {
			if (member.hostId().equals(this.self.hostId())) {
				return isSelf(member);
			}
			if (!isReportedSilent(membership, member)) {
				return false;
			}
		}
		return false;
	}

	// The coordinator appends only the first of its changes that is due.
	private void reconcileMember(Configuration configuration, Member current) {
		if (this.resigning.get() && !current.resigned()) {
			append(configuration, "resign", new Change.MemberResigned(this.self.hostId(), this.self.processId()));
		}
		else if (isCoordinator() && !removeSilent(configuration) && !admitWaiting(configuration)) {
			settleSeats(configuration);
		}
	}

	private void joinOrRequestSeat(Configuration configuration) {
		Membership membership = configuration.membership();
		boolean firstMember = membership.size() == 0 && seatChangeKnown(membership);
		if (membership.hasSeat(this.self) || firstMember) {
			append(configuration, "join", new Change.MemberJoined(this.self));
		}
		else if (!this.seatBackoff.isOver(this.clock.millis())) {
			return;
		}
		else if (!membership.waiting().contains(this.self)) {
			requestSeat(configuration);
		}
		else if (membership.waiting().get(0).equals(this.self)) {
			// The first waiting process admits the others too, since the coordinator may
			// be unable to reach the platform.
			admitWaiting(configuration);
		}
	}

	// Repeats the append after the new head if another change came first, since a
	// request for a seat depends on no other change. Hosts that start at the same time
	// would otherwise each wait for their next poll.
	private void requestSeat(Configuration configuration) {
		String changeId = changeId(configuration, "wait");
		long head = configuration.sequence();
		for (int i = 0; i < MAXIMUM_SEAT_REQUEST_TRIES; i++) {
			ChangeLog.AppendResult result = this.log.append(head, changeId, new Change.JoinRequested(this.self));
			if (!(result instanceof ChangeLog.AppendResult.HeadMoved moved)) {
				return;
			}
			head = moved.head();
		}
	}

	// Admits fewer processes than there are members, so that the current members stay a
	// majority and changes are still accepted if the new members stop at once. A single
	// member admits one process. The number of members almost doubles with each change
	// of seats.
	private boolean admitWaiting(Configuration configuration) {
		Membership membership = configuration.membership();
		int limit = Math.max(1, membership.size() - 1);
		List<Member> admitted = membership.waiting().stream().limit(limit).toList();
		boolean due = !admitted.isEmpty() && seatChangeKnown(membership);
		if (due) {
			append(configuration, "admit", new Change.MembersAdmitted(admitted));
		}
		return due;
	}

	private boolean removeSilent(Configuration configuration) {
		Membership membership = configuration.membership();
		List<Member> silent = membership.members()
			.stream()
			.filter((member) -> isReportedSilent(membership, member))
			.toList();
		boolean due = !silent.isEmpty() && seatChangeKnown(membership);
		if (due) {
			append(configuration, "remove", new Change.MembersRemoved(silent));
		}
		return due;
	}

	// Appends SeatsSettled after a majority has had the last change of seats in force for
	// the fencing wait. Until then, the acceptance of any change needs a majority of the
	// previous members too, and always takes the fencing wait if a process has lost its
	// seat.
	private void settleSeats(Configuration configuration) {
		Membership membership = configuration.membership();
		long seatSequence = membership.seatSequence();
		long now = this.clock.millis();
		if (!seatChangeKnown(membership)) {
			this.knownSeatChange.set(new KnownSeatChange(0, now));
			return;
		}
		KnownSeatChange known = this.knownSeatChange.updateAndGet(
				(before) -> (before.seatSequence() == seatSequence) ? before : new KnownSeatChange(seatSequence, now));
		boolean unsettled = !membership.previousMembers().isEmpty() || membership.departureSequence() > 0;
		if (unsettled && now - known.sinceMillis() >= AcceptanceTracker.FENCING_WAIT_MILLIS) {
			append(configuration, "settle", new Change.SeatsSettled(seatSequence));
		}
	}

	// Returns whether more than half of all members report the member as silent. The
	// report of this host counts no more than that of any other.
	private boolean isReportedSilent(Membership membership, Member member) {
		return Majority.moreThanHalf(membership.members(), (reporter) -> reportsSilent(reporter, member.hostId()));
	}

	private boolean reportsSilent(Member reporter, String hostId) {
		if (isSelf(reporter)) {
			return this.heartbeats.silentHosts().contains(hostId);
		}
		HeartbeatResponse response = this.heartbeats.recentResponse(reporter.hostId());
		return response != null && response.silentHosts().contains(hostId);
	}

	// Returns whether a majority of the members before the last change of seats and a
	// majority of those after it have that change in force. Only then may seats change
	// again: a majority of an older membership could otherwise have no member in common
	// with a majority of the newest one.
	private boolean seatChangeKnown(Membership membership) {
		return Majority.moreThanHalf(membership.members(), (member) -> hasInForce(member, membership.seatSequence()))
				&& Majority.moreThanHalf(membership.previousMembers(),
						(member) -> hasInForce(member, membership.seatSequence()));
	}

	private boolean hasInForce(Member member, long sequence) {
		if (isSelf(member)) {
			return true;
		}
		HeartbeatResponse response = this.heartbeats.recentResponse(member.hostId());
		return response != null && response.sequence() >= sequence;
	}

	private boolean isSelf(Member member) {
		return member.hostId().equals(this.self.hostId()) && member.processId().equals(this.self.processId());
	}

	private void append(Configuration configuration, String kind, Change change) {
		this.log.append(configuration.sequence(), changeId(configuration, kind), change);
	}

	private String changeId(Configuration configuration, String kind) {
		return kind + "-" + this.self.processId() + "-" + configuration.sequence();
	}

	/**
	 * The state of this process in the fleet.
	 */
	public enum State {

		/** The process is not a member yet, or was removed from the fleet. */
		JOINING,

		/** The process is a member. */
		MEMBER,

		/** The process has given up its shares of rate limits and is about to stop. */
		RESIGNED,

		/**
		 * Another process with the same host name has replaced this one, which must stop.
		 */
		REPLACED

	}

	/**
	 * The last change of seats that a majority has in force.
	 *
	 * @param seatSequence the sequence number of the change, 0 if no majority has it in
	 * force
	 * @param sinceMillis the reading of the process clock, in milliseconds, when this
	 * host first found that a majority has the change in force
	 */
	private record KnownSeatChange(long seatSequence, long sinceMillis) {
	}

}
