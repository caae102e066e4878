package org.plantainspur.core.target;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * The usual time of each route's answers: an exponentially smoothed mean in which one
 * very slow answer counts for little.
 */
final class UsualTimes {

	private static final double GAIN = 0.05;

	/** A slow target must not raise what it is compared with. */
	private static final double LARGEST_STEP = 3;

	/** Routes that no longer exist are forgotten all at once when there are this many. */
	private static final int MAX_ROUTES = 8_192;

	private final ConcurrentMap<String, Double> means = new ConcurrentHashMap<>();

	double observe(String route, long tookMs) {
		if (this.means.size() > MAX_ROUTES) {
			this.means.clear();
		}
		double took = Math.max(1, tookMs);
		return this.means.merge(route, took,
				(mean, ignored) -> mean + (Math.min(took, mean * LARGEST_STEP) - mean) * GAIN);
	}

	double of(String route) {
		return this.means.getOrDefault(route, 0.0);
	}

}
