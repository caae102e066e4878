package org.plantainspur.core.health;

/**
 * The weight of a target that is new or readmitted; it rises linearly from 10% to 100%.
 */
final class SlowStart {

	/**
	 * How long the weight rises; enough for a cold target to fill its caches and
	 * connection pools.
	 */
	static final long DURATION_MILLIS = 20_000;

	private SlowStart() {
	}

	static double weight(long inUseMillis) {
		double progress = Math.max(0, inUseMillis) / (double) DURATION_MILLIS;
		return Math.min(1, CapacityFloor.MIN_WEIGHT + (1 - CapacityFloor.MIN_WEIGHT) * progress);
	}

}
