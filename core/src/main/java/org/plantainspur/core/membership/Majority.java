package org.plantainspur.core.membership;

import java.util.Collection;
import java.util.List;
import java.util.OptionalInt;
import java.util.function.Predicate;

/**
 * Decides whether members form a majority. The acceptance of a change needs one, and so
 * does the proof that a configuration is current.
 */
public final class Majority {

	private Majority() {
	}

	/**
	 * Returns whether more than half of the members meet a condition.
	 * @param members the members
	 * @param isCounted the condition that a member must meet to be counted
	 * @return {@code true} if more than half meet the condition or there are no members
	 */
	public static boolean moreThanHalf(Collection<Member> members, Predicate<Member> isCounted) {
		return members.isEmpty() || 2 * members.stream().filter(isCounted).count() > members.size();
	}

	/**
	 * Returns how many of the counted members, taken from the start of the list, form a
	 * majority. A majority is more than half of all members, or exactly half of them if
	 * more than half of the members in the platform's region are among them. Such a half
	 * still shares a member with every set of more than half of the members.
	 * @param members the members
	 * @param counted the members to count in this order, each listed once
	 * @param platformRegion the region of the platform
	 * @return the size of the smallest prefix of {@code counted} that is a majority, or
	 * empty if the whole list is none
	 */
	public static OptionalInt smallestPrefix(Collection<Member> members, List<Member> counted, String platformRegion) {
		Predicate<Member> inRegion = (member) -> member.region().equals(platformRegion);
		long regional = members.stream().filter(inRegion).count();
		long countedRegional = 0;
		for (int size = 1; size <= counted.size(); size++) {
			countedRegional += inRegion.test(counted.get(size - 1)) ? 1 : 0;
			boolean exactlyHalf = 2 * size == members.size();
			if (2 * size > members.size() || (exactlyHalf && 2 * countedRegional > regional)) {
				return OptionalInt.of(size);
			}
		}
		return OptionalInt.empty();
	}

}
