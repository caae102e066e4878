package org.plantainspur.core.health;

/**
 * The weight of a target that is new or was ejected: it rises evenly from 10% to 100%.
 */
final class SlowStart {

	/** A cold target has filled its caches and pools by then. */
	static final long DURATION_MILLIS = 20_000;

	private SlowStart() {
	}

	static double weight(long sinceMillis) {
		double share = Math.max(0, sinceMillis) / (double) DURATION_MILLIS;
		return Math.min(1, FloorGuard.LEAST_WEIGHT + (1 - FloorGuard.LEAST_WEIGHT) * share);
	}

}
