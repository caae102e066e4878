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

	private static final Membership EMPTY = new Membership(new TreeMap<>(), 0, List.of());

	private final TreeMap<String, Member> members;

	private final long sequence;

	private final List<Membership> earlier;

	private Membership(TreeMap<String, Member> members, long sequence, List<Membership> earlier) {
		this.members = members;
		this.sequence = sequence;
		this.earlier = earlier;
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
		return this.sequence;
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
		TreeMap<String, Member> next = new TreeMap<>(this.members);
		if (change instanceof Change.MemberJoined joined) {
			next.put(joined.member().hostId(), joined.member());
		}
		else if (change instanceof Change.MemberResigned resigned) {
			next.computeIfPresent(resigned.hostId(),
					(id, member) -> member.processId().equals(resigned.processId()) ? member.resign() : member);
		}
		else if (change instanceof Change.MembersRemoved removed) {
			removed.members().forEach((gone) -> remove(next, gone));
		}
		return new Membership(next, sequence, withThis());
	}

	private List<Membership> withThis() {
		List<Membership> all = new ArrayList<>(this.earlier);
		all.add(new Membership(this.members, this.sequence, List.of()));
		return List.copyOf(all.subList(Math.max(0, all.size() - MAXIMUM_EARLIER), all.size()));
	}

	private static void remove(Map<String, Member> members, Member gone) {
		Member present = members.get(gone.hostId());
		if (present != null && present.processId().equals(gone.processId())) {
			members.remove(gone.hostId());
		}
	}

}
