package org.plantainspur.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.configuration.Change;

/**
 * The members of the fleet at one sequence number, immutable. A seat is the combination
 * of a host name and a peer address that a member holds. A change of seats stays
 * unsettled until a {@link Change.SeatsSettled} confirms it.
 */
public final class Membership {

	/**
	 * The maximum number of previous memberships that are kept. A host that applies more
	 * changes of the membership at once does not know all previous holders of shares, so
	 * it has to assume that every member may have been one.
	 */
	private static final int MAXIMUM_PREVIOUS_MEMBERSHIPS = 16;

	private static final Membership EMPTY = new Membership(new TreeMap<>(),
			new State(0, List.of(), 0, 0, List.of(), List.of()), List.of());

	private final TreeMap<String, Member> members;

	private final State state;

	private final List<Membership> previousMemberships;

	private Membership(TreeMap<String, Member> members, State state, List<Membership> previousMemberships) {
		this.members = members;
		this.state = state;
		this.previousMemberships = previousMemberships;
	}

	/**
	 * Creates a membership from a stored or received state.
	 * @param state the state, as returned by {@link #state()}
	 * @return the membership
	 */
	public static Membership restore(State state) {
		TreeMap<String, Member> members = new TreeMap<>();
		state.members().forEach((member) -> members.put(member.hostId(), member));
		return new Membership(members, state, List.of());
	}

	/**
	 * Returns the content of this membership as a value that can be stored or sent.
	 * @return the state, without the previous memberships
	 */
	public State state() {
		return this.state;
	}

	/**
	 * Returns the sequence number of the last change of seats. A process that replaces
	 * another one at the same seat is no change of seats: it could bind the peer address,
	 * which proves that the other process has ended.
	 * @return the sequence number, 0 if there was none
	 */
	public long seatSequence() {
		return this.state.seatSequence();
	}

	/**
	 * Returns the members before the last change of seats, as long as that change is not
	 * settled.
	 * @return an unmodifiable list, empty if the last change of seats is settled
	 */
	public List<Member> previousMembers() {
		return this.state.previousMembers();
	}

	/**
	 * Returns the processes that have requested a seat. They are not members yet.
	 * @return an unmodifiable list, ordered by host
	 */
	public List<Member> waiting() {
		List<Member> waiting = this.state.waiting();
		return (waiting != null) ? waiting : List.of();
	}

	/**
	 * Returns the sequence number of the last change that removed a seat, as long as the
	 * process that lost the seat may still serve requests.
	 * @return the sequence number, 0 if there is none
	 */
	public long departureSequence() {
		return this.state.departureSequence();
	}

	/**
	 * Returns whether the seat of a member exists in this membership.
	 * @param member the member
	 * @return whether a member with the same host name and peer address exists, perhaps
	 * with another process
	 */
	public boolean hasSeat(Member member) {
		Member current = this.members.get(member.hostId());
		return current != null && current.peerAddress().equals(member.peerAddress());
	}

	/**
	 * Returns a membership without members.
	 * @return the empty membership
	 */
	public static Membership empty() {
		return EMPTY;
	}

	/**
	 * Returns the sequence number of the last change of the membership.
	 * @return the sequence number
	 */
	public long sequence() {
		return this.state.sequence();
	}

	/**
	 * Returns the memberships before this one. A host that applies several changes at
	 * once needs them to find every previous holder of a share.
	 * @return up to 16 memberships, the newest last; their own lists of previous
	 * memberships are empty
	 */
	public List<Membership> previousMemberships() {
		return this.previousMemberships;
	}

	/**
	 * Returns the member with a host name.
	 * @param hostId the host's name
	 * @return the member, or {@code null} if there is none
	 */
	public @Nullable Member member(String hostId) {
		return this.members.get(hostId);
	}

	/**
	 * Returns all members, ordered by host.
	 * @return an unmodifiable collection
	 */
	public Collection<Member> members() {
		return List.copyOf(this.members.values());
	}

	/**
	 * Returns the members that have not resigned, ordered by host.
	 * @return an unmodifiable list
	 */
	public List<Member> active() {
		return this.members.values().stream().filter((member) -> !member.resigned()).toList();
	}

	/**
	 * Returns the number of members, including those that have resigned.
	 * @return the number of members
	 */
	public int size() {
		return this.members.size();
	}

	/**
	 * Applies a change of the membership. A resignation or removal has no effect if it
	 * names another process than the member's current one, since a newer process has
	 * replaced it.
	 * @param change the change
	 * @param sequence the change's sequence number
	 * @return the new membership
	 */
	public Membership apply(Change change, long sequence) {
		if (change instanceof Change.SeatsSettled settled) {
			return (settled.seatSequence() == seatSequence()) ? settleSeats(sequence) : this;
		}
		if (change instanceof Change.JoinRequested requested) {
			return addWaiting(requested.member());
		}
		if (change instanceof Change.MembersLost lost) {
			return removeLost(lost.members(), sequence);
		}
		TreeMap<String, Member> next = new TreeMap<>(this.members);
		if (change instanceof Change.MemberJoined joined) {
			next.put(joined.member().hostId(), joined.member());
		}
		else if (change instanceof Change.MembersAdmitted admitted) {
			admitted.members().forEach((member) -> next.put(member.hostId(), member));
		}
		else if (change instanceof Change.MemberResigned resigned) {
			next.computeIfPresent(resigned.hostId(),
					(id, member) -> member.processId().equals(resigned.processId()) ? member.asResigned() : member);
		}
		else if (change instanceof Change.MembersRemoved removed) {
			removed.members().forEach((departed) -> remove(next, departed));
		}
		return new Membership(next, nextState(next, sequence), extendedHistory());
	}

	// A request for a seat changes neither seats nor shares, so the sequence number of
	// the membership stays the same.
	private Membership addWaiting(Member member) {
		if (containsProcess(this.members, member)) {
			return this;
		}
		TreeMap<String, Member> waiting = new TreeMap<>();
		waiting().forEach((other) -> waiting.put(other.hostId(), other));
		waiting.put(member.hostId(), member);
		State next = new State(sequence(), this.state.members(), seatSequence(), departureSequence(), previousMembers(),
				List.copyOf(waiting.values()));
		return new Membership(this.members, next, this.previousMemberships);
	}

	// Drops the request of a process when another process joins at its host: the
	// request may come from a process that has ended, and admitting it would replace
	// the new process. A process that still runs requests a seat again.
	private List<Member> remainingWaiting(TreeMap<String, Member> next) {
		return waiting().stream().filter((member) -> {
			Member current = next.get(member.hostId());
			boolean unchanged = current == null || current.equals(this.members.get(member.hostId()));
			return unchanged && !containsProcess(next, member);
		}).toList();
	}

	private static boolean containsProcess(Map<String, Member> members, Member member) {
		Member current = members.get(member.hostId());
		return current != null && current.processId().equals(member.processId());
	}

	// A lost member never acknowledges anything again, so a majority of the members
	// before this change consists of remaining members only. More than half of the
	// remaining members share a member with each such majority, so the members before
	// this change are not kept as previous members. The previous members of an
	// unsettled change are kept, but without the lost ones, for the same reason.
	private Membership removeLost(List<Member> lost, long sequence) {
		TreeMap<String, Member> next = new TreeMap<>(this.members);
		lost.forEach((departed) -> remove(next, departed));
		List<Member> previous = previousMembers().stream()
			.filter((member) -> next.containsKey(member.hostId())
					|| lost.stream().noneMatch((other) -> sameSeat(member, other)))
			.toList();
		boolean seatsChanged = next.size() != this.members.size();
		return new Membership(next,
				new State(sequence, List.copyOf(next.values()), seatsChanged ? sequence : seatSequence(),
						seatsChanged ? sequence : departureSequence(), previous, waiting()),
				extendedHistory());
	}

	private static boolean sameSeat(Member member, Member other) {
		return member.hostId().equals(other.hostId()) && member.peerAddress().equals(other.peerAddress());
	}

	private Membership settleSeats(long sequence) {
		return new Membership(this.members,
				new State(sequence, this.state.members(), seatSequence(), 0, List.of(), waiting()), extendedHistory());
	}

	private State nextState(TreeMap<String, Member> next, long sequence) {
		List<Member> members = List.copyOf(next.values());
		Membership result = new Membership(next, this.state, List.of());
		boolean seatLost = !this.members.values().stream().allMatch(result::hasSeat);
		boolean seatsChanged = seatLost || next.size() != this.members.size();
		return new State(sequence, members, seatsChanged ? sequence : seatSequence(),
				seatLost ? sequence : departureSequence(),
				seatsChanged ? List.copyOf(this.members.values()) : previousMembers(), remainingWaiting(next));
	}

	private List<Membership> extendedHistory() {
		List<Membership> all = new ArrayList<>(this.previousMemberships);
		all.add(new Membership(this.members, this.state, List.of()));
		return List.copyOf(all.subList(Math.max(0, all.size() - MAXIMUM_PREVIOUS_MEMBERSHIPS), all.size()));
	}

	private static void remove(Map<String, Member> members, Member departed) {
		if (containsProcess(members, departed)) {
			members.remove(departed.hostId());
		}
	}

	/**
	 * The content of a membership in the form that is stored and sent.
	 *
	 * @param sequence the sequence number of the last change of the membership
	 * @param members the members, ordered by host
	 * @param seatSequence the sequence number of the last change of seats
	 * @param departureSequence the sequence number of the last change that removed a
	 * seat, 0 if processes that lost a seat can no longer serve requests
	 * @param previousMembers the members before the last change of seats
	 * @param waiting the processes that have requested a seat; {@code null} in a state
	 * that was written by a version without this component
	 */
	public record State(long sequence, List<Member> members, long seatSequence, long departureSequence,
			List<Member> previousMembers, @Nullable List<Member> waiting) {

		public State {
			members = List.copyOf(members);
			previousMembers = List.copyOf(previousMembers);
			waiting = (waiting != null) ? List.copyOf(waiting) : List.of();
		}

	}

}
