package org.plantainspur.core.desired;

import java.util.List;

/**
 * A route as configured by the operators: the requests that it matches, the services that
 * run them, and the rules for their retries and timeouts.
 *
 * @param name the route's name
 * @param host the host name that the Host header must have, in any case
 * @param prefix the prefix of matching paths; begins and ends with a slash
 * @param idempotent whether requests may run more than once
 * @param timeoutMs the longest time until the caller gets a response, in milliseconds
 * @param latencyObjectiveMs the duration up to which a response has its full value, in
 * milliseconds
 * @param priority the priority; 0 is the highest
 * @param weightedServices the services that run the requests, with their weights; at
 * least one
 * @param maxAttempts the largest number of targets to which one request may be sent
 * @param open whether requests need no key
 */
public record RouteRule(String name, String host, String prefix, boolean idempotent, long timeoutMs,
		long latencyObjectiveMs, int priority, List<WeightedService> weightedServices, int maxAttempts, boolean open) {

	public RouteRule {
		weightedServices = List.copyOf(weightedServices);
		if (weightedServices.isEmpty()) {
			throw new IllegalArgumentException("route '" + name + "' has no service; name at least one");
		}
	}

	/**
	 * Selects the service for a request by weight.
	 * @param position the position in the cumulative distribution of the weights: a
	 * uniformly distributed random number from 0 (inclusive) to 1 (exclusive)
	 * @return the service's name
	 */
	public String selectService(double position) {
		double total = this.weightedServices.stream().mapToDouble(WeightedService::weight).sum();
		double remaining = position * total;
		for (WeightedService candidate : this.weightedServices) {
			remaining -= candidate.weight();
			if (remaining < 0) {
				return candidate.service();
			}
		}
		return this.weightedServices.get(this.weightedServices.size() - 1).service();
	}

}
