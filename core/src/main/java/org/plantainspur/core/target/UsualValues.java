package org.plantainspur.core.target;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * What is usual for each route, such as the time of its answers: an exponentially
 * smoothed mean in which one very large value counts for little.
 */
final class UsualValues {

	private static final double GAIN = 0.05;

	/** A slow target must not raise what it is compared with. */
	private static final double LARGEST_STEP = 3;

	/** Routes that no longer exist are forgotten all at once when there are this many. */
	private static final int MAX_ROUTES = 8_192;

	private final ConcurrentMap<String, Double> means = new ConcurrentHashMap<>();

	double observe(String route, long value) {
		if (this.means.size() > MAX_ROUTES) {
			this.means.clear();
		}
		double seen = Math.max(1, value);
		return this.means.merge(route, seen,
				(mean, ignored) -> mean + (Math.min(seen, mean * LARGEST_STEP) - mean) * GAIN);
	}

	double of(String route) {
		return this.means.getOrDefault(route, 0.0);
	}

}
