package org.plantainspur.core.target;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * An exponentially weighted average of one quantity for each route, such as the duration
 * of its responses. Single very large values are limited. Thread-safe.
 */
final class RouteAverages {

	private static final double SMOOTHING_FACTOR = 0.05;

	/**
	 * A sample counts as at most this many times the average, so that a slow target does
	 * not raise the average that it is compared with.
	 */
	private static final double MAX_STEP_RATIO = 3;

	/**
	 * All averages are dropped when there are more, since routes that no longer exist are
	 * not removed one by one.
	 */
	private static final int MAX_ROUTES = 8_192;

	private final ConcurrentMap<String, Double> means = new ConcurrentHashMap<>();

	double observe(String route, long value) {
		if (this.means.size() > MAX_ROUTES) {
			this.means.clear();
		}
		double sample = Math.max(1, value);
		return this.means.merge(route, sample,
				(mean, ignored) -> mean + (Math.min(sample, mean * MAX_STEP_RATIO) - mean) * SMOOTHING_FACTOR);
	}

	double average(String route) {
		return this.means.getOrDefault(route, 0.0);
	}

}
