package org.plantainspur.core.membership;

import java.util.Collection;
import java.util.List;
import java.util.OptionalInt;
import java.util.function.Predicate;

/**
 * Counts members against the majorities that currency and acceptance rely on.
 */
public final class Majority {

	private Majority() {
	}

	/**
	 * Returns whether more than half of the members count.
	 * @param members the members
	 * @param counts which members count
	 * @return whether they are more than half; {@code true} for no members
	 */
	public static boolean moreThanHalf(Collection<Member> members, Predicate<Member> counts) {
		return members.isEmpty() || 2 * members.stream().filter(counts).count() > members.size();
	}

	/**
	 * Returns how many of the first counted members are needed for a majority: more than
	 * half of the members, or exactly half with the majority of the platform's region.
	 * Such a half still meets every set of more than half of the members.
	 * @param members the members
	 * @param counted the members that count, each once
	 * @param platformRegion the region of the platform
	 * @return the size of the smallest prefix that is a majority, if there is one
	 */
	public static OptionalInt smallestPrefix(Collection<Member> members, List<Member> counted, String platformRegion) {
		Predicate<Member> inRegion = (member) -> member.region().equals(platformRegion);
		long regional = members.stream().filter(inRegion).count();
		long countedRegional = 0;
		for (int size = 1; size <= counted.size(); size++) {
			countedRegional += inRegion.test(counted.get(size - 1)) ? 1 : 0;
			boolean tie = 2 * size == members.size();
			if (2 * size > members.size() || (tie && 2 * countedRegional > regional)) {
				return OptionalInt.of(size);
			}
		}
		return OptionalInt.empty();
	}

}
