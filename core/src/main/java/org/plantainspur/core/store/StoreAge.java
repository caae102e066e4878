package org.plantainspur.core.store;

/**
 * Tells how long ago a host that follows two tables last read the store.
 */
public final class StoreAge {

	private StoreAge() {
	}

	/**
	 * Returns the time since the host itself read the store. An answer for one table
	 * shows that the store can be reached, unless reads of the other one fail or are
	 * overdue.
	 * @param first the follower of one table
	 * @param second the follower of the other table
	 * @param budget the longest wait of a read
	 * @return a time in milliseconds, very large before the first read
	 */
	public static long millis(TableFollower first, TableFollower second, ChangeDelayBudget budget) {
		long shorterMs = Math.min(first.storeAgeMs(), second.storeAgeMs());
		long longerMs = Math.max(first.storeAgeMs(), second.storeAgeMs());
		return (first.failing() || second.failing()) ? longerMs : Math.max(shorterMs, longerMs - budget.changeWaitMs());
	}

}
