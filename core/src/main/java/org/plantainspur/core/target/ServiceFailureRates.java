package org.plantainspur.core.target;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * The recent failure rate of each service's attempts from this host, as an exponentially
 * weighted average. Thread-safe.
 */
final class ServiceFailureRates {

	/** The weight of the newest attempt in the rate. */
	private static final double SMOOTHING_FACTOR = 0.05;

	private final ConcurrentMap<String, Double> rates = new ConcurrentHashMap<>();

	void record(String service, boolean failed) {
		double sample = failed ? 1 : 0;
		this.rates.merge(service, sample * SMOOTHING_FACTOR,
				(rate, ignored) -> rate + (sample - rate) * SMOOTHING_FACTOR);
	}

	double rate(String service) {
		return this.rates.getOrDefault(service, 0.0);
	}

}
