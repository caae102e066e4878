package org.plantainspur.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.configuration.Change;

/**
 * The immutable set of members, ordered by host.
 */
public final class Membership {

	/**
	 * A host that reads more changes at once than this treats the earlier holders of
	 * shares as unknown.
	 */
	private static final int MAXIMUM_EARLIER = 16;

	private static final Membership EMPTY = new Membership(new TreeMap<>(),
			new State(0, List.of(), 0, 0, List.of(), List.of()), List.of());

	private final TreeMap<String, Member> members;

	private final State state;

	private final List<Membership> earlier;

	private Membership(TreeMap<String, Member> members, State state, List<Membership> earlier) {
		this.members = members;
		this.state = state;
		this.earlier = earlier;
	}

	/**
	 * Restores a membership.
	 * @param state the state of the membership
	 * @return the membership
	 */
	public static Membership restore(State state) {
		TreeMap<String, Member> members = new TreeMap<>();
		state.members().forEach((member) -> members.put(member.hostId(), member));
		return new Membership(members, state, List.of());
	}

	/**
	 * Returns the state as a value that can be stored.
	 * @return the state
	 */
	public State state() {
		return this.state;
	}

	/**
	 * Returns the sequence number of the last change of seats. A seat is a host with its
	 * peer address; a process that replaces another one at the same seat proves that the
	 * other is dead, since it could bind the address.
	 * @return the sequence number, 0 if there was none
	 */
	public long seatSequence() {
		return this.state.seatSequence();
	}

	/**
	 * Returns the members before the last change of seats while that change is not
	 * settled.
	 * @return an unmodifiable list, empty once it is settled
	 */
	public List<Member> previousMembers() {
		return this.state.previousMembers();
	}

	/**
	 * Returns the processes that wait for a seat. They are no members.
	 * @return an unmodifiable list, ordered by host
	 */
	public List<Member> waiting() {
		List<Member> waiting = this.state.waiting();
		return (waiting != null) ? waiting : List.of();
	}

	/**
	 * Returns the sequence number of the last change that took a seat away while the
	 * process that lost it may not be fenced yet.
	 * @return the sequence number, 0 if there is none
	 */
	public long departureSequence() {
		return this.state.departureSequence();
	}

	/**
	 * Returns whether a member still has its seat here.
	 * @param member the member
	 * @return whether its host is a member at the same peer address
	 */
	public boolean hasSeat(Member member) {
		Member present = this.members.get(member.hostId());
		return present != null && present.peerAddress().equals(member.peerAddress());
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
	 * Returns the memberships before this one, so that a host that puts several changes
	 * in force at once learns of every earlier holder of a share.
	 * @return the last few, the newest last; they have no earlier ones themselves
	 */
	public List<Membership> earlier() {
		return this.earlier;
	}

	/**
	 * Returns the member at a host.
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
	 * Returns the number of members, resigned ones included.
	 * @return the number
	 */
	public int size() {
		return this.members.size();
	}

	/**
	 * Applies a change of the membership. A resignation or removal that names another
	 * process than the present one has no effect, since the host has been taken over by a
	 * newer process.
	 * @param change the change
	 * @param sequence the change's sequence number
	 * @return the new membership
	 */
	public Membership apply(Change change, long sequence) {
		if (change instanceof Change.SeatsSettled settled) {
			return (settled.seatSequence() == seatSequence()) ? settle(sequence) : this;
		}
		if (change instanceof Change.JoinRequested requested) {
			return await(requested.member());
		}
		if (change instanceof Change.MembersLost lost) {
			return lose(lost.members(), sequence);
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
					(id, member) -> member.processId().equals(resigned.processId()) ? member.resign() : member);
		}
		else if (change instanceof Change.MembersRemoved removed) {
			removed.members().forEach((gone) -> remove(next, gone));
		}
		return new Membership(next, nextState(next, sequence), withThis());
	}

	// A waiting process changes neither seats nor shares, so the sequence number of the
	// membership stays.
	private Membership await(Member member) {
		if (isMember(this.members, member)) {
			return this;
		}
		TreeMap<String, Member> waiting = new TreeMap<>();
		waiting().forEach((other) -> waiting.put(other.hostId(), other));
		waiting.put(member.hostId(), member);
		State next = new State(sequence(), this.state.members(), seatSequence(), departureSequence(), previousMembers(),
				List.copyOf(waiting.values()));
		return new Membership(this.members, next, this.earlier);
	}

	// A process stops waiting once its host has a new process, which it could otherwise
	// displace after its own end. A living one asks again.
	private List<Member> stillWaiting(TreeMap<String, Member> next) {
		return waiting().stream().filter((member) -> {
			Member present = next.get(member.hostId());
			boolean unchanged = present == null || present.equals(this.members.get(member.hostId()));
			return unchanged && !isMember(next, member);
		}).toList();
	}

	private static boolean isMember(Map<String, Member> members, Member member) {
		Member present = members.get(member.hostId());
		return present != null && present.processId().equals(member.processId());
	}

	// A lost member never answers again, so a majority of the members before this change
	// consists of survivors only. More than half of the survivors meet each such
	// majority,
	// and the members before this change need not be counted. Those before the last
	// unsettled change are counted without the lost ones, for the same reason.
	private Membership lose(List<Member> lost, long sequence) {
		TreeMap<String, Member> next = new TreeMap<>(this.members);
		lost.forEach((gone) -> remove(next, gone));
		List<Member> previous = previousMembers().stream()
			.filter((member) -> next.containsKey(member.hostId())
					|| lost.stream().noneMatch((other) -> sameSeat(member, other)))
			.toList();
		boolean seatsChanged = next.size() != this.members.size();
		return new Membership(next,
				new State(sequence, List.copyOf(next.values()), seatsChanged ? sequence : seatSequence(),
						seatsChanged ? sequence : departureSequence(), previous, waiting()),
				withThis());
	}

	private static boolean sameSeat(Member member, Member other) {
		return member.hostId().equals(other.hostId()) && member.peerAddress().equals(other.peerAddress());
	}

	private Membership settle(long sequence) {
		return new Membership(this.members,
				new State(sequence, this.state.members(), seatSequence(), 0, List.of(), waiting()), withThis());
	}

	private State nextState(TreeMap<String, Member> next, long sequence) {
		List<Member> members = List.copyOf(next.values());
		Membership after = new Membership(next, this.state, List.of());
		boolean departed = !this.members.values().stream().allMatch(after::hasSeat);
		boolean seatsChanged = departed || next.size() != this.members.size();
		return new State(sequence, members, seatsChanged ? sequence : seatSequence(),
				departed ? sequence : departureSequence(),
				seatsChanged ? List.copyOf(this.members.values()) : previousMembers(), stillWaiting(next));
	}

	private List<Membership> withThis() {
		List<Membership> all = new ArrayList<>(this.earlier);
		all.add(new Membership(this.members, this.state, List.of()));
		return List.copyOf(all.subList(Math.max(0, all.size() - MAXIMUM_EARLIER), all.size()));
	}

	private static void remove(Map<String, Member> members, Member gone) {
		if (isMember(members, gone)) {
			members.remove(gone.hostId());
		}
	}

	/**
	 * The state of a membership.
	 *
	 * @param sequence the sequence number of the last change of the membership
	 * @param members the members, ordered by host
	 * @param seatSequence the sequence number of the last change of seats
	 * @param departureSequence the sequence number of the last change that took a seat
	 * away
	 * @param previousMembers the members before the last change of seats
	 * @param waiting the processes that wait for a seat; absent in a state of an earlier
	 * version
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
