package org.plantainspur.core.store;

import java.util.Comparator;

/**
 * A version of the store. A store that comes back from a copy begins a new era, in which
 * it gives out the numbers since the copy again, so the era orders before the number.
 *
 * @param era the era of the store, 0 if the store names none
 * @param number the number of the version within its era, 0 before the first read
 */
public record StoreVersion(long era, long number) implements Comparable<StoreVersion> {

	/** The version of a replica that has not been read yet. */
	public static final StoreVersion NONE = new StoreVersion(0, 0);

	private static final Comparator<StoreVersion> ORDER = Comparator.comparingLong(StoreVersion::era)
		.thenComparingLong(StoreVersion::number);

	@Override
	public int compareTo(StoreVersion other) {
		return ORDER.compare(this, other);
	}

	/**
	 * Returns whether this version is later than another one.
	 * @param other the other version
	 * @return {@code true} if the era is later, or the number in the same era
	 */
	public boolean isAfter(StoreVersion other) {
		return compareTo(other) > 0;
	}

	/**
	 * Returns whether the numbers of two versions can be compared.
	 * @param other the other version
	 * @return {@code true} if both are of the same era
	 */
	public boolean isSameEra(StoreVersion other) {
		return this.era == other.era;
	}

	/**
	 * Returns the later one of two versions.
	 * @param first a version
	 * @param second another version
	 * @return one of them
	 */
	public static StoreVersion latest(StoreVersion first, StoreVersion second) {
		return second.isAfter(first) ? second : first;
	}

}
