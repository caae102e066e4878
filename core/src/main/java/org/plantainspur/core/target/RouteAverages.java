package org.plantainspur.core.target;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * An exponentially weighted average of one quantity for each route, such as the duration
 * of its responses. Very large single samples are limited. Thread-safe.
 */
final class RouteAverages {

	/** The weight of a new sample in the average. */
	private static final double SMOOTHING_FACTOR = 0.05;

	/**
	 * A sample counts as at most this many times the average, so that a slow target does
	 * not raise the average that it is compared with.
	 */
	private static final double MAX_SAMPLE_RATIO = 3;

	/**
	 * All averages are dropped when there are more than this, which bounds the memory:
	 * routes that no longer exist are not removed one by one.
	 */
	private static final int MAX_ROUTES = 8_192;

	private final ConcurrentMap<String, Double> averages = new ConcurrentHashMap<>();

	// Adds a sample and returns the new average.
	double observe(String route, long value) {
		if (this.averages.size() > MAX_ROUTES) {
			this.averages.clear();
		}
		double sample = Math.max(1, value);
		return this.averages.merge(route, sample, (average, ignored) -> average
				+ (Math.min(sample, average * MAX_SAMPLE_RATIO) - average) * SMOOTHING_FACTOR);
	}

	// Returns 0 for a route without samples.
	double average(String route) {
		return this.averages.getOrDefault(route, 0.0);
	}

}
