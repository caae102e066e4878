package org.plantainspur.core.target;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

/**
 * The share of a service's attempts that failed of late, as this host sees it.
 */
final class ServiceFailures {

	private static final double GAIN = 0.05;

	private final ConcurrentMap<String, Double> shares = new ConcurrentHashMap<>();

	void record(String service, boolean failed) {
		double latest = failed ? 1 : 0;
		this.shares.merge(service, latest * GAIN, (share, ignored) -> share + (latest - share) * GAIN);
	}

	double of(String service) {
		return this.shares.getOrDefault(service, 0.0);
	}

}
