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
 * @param shares the services that run the requests, with their weights; at least one
 * @param maxAttempts the largest number of targets to which one request may be sent
 * @param open whether requests need no key
 */
public record RouteRule(String name, String host, String prefix, boolean idempotent, long timeoutMs,
		long latencyObjectiveMs, int priority, List<WeightedService> shares, int maxAttempts, boolean open) {

	public RouteRule {
		shares = List.copyOf(shares);
		if (shares.isEmpty()) {
			throw new IllegalArgumentException("route '" + name + "' has no service; name at least one");
		}
	}

	/**
	 * Selects the service for a request by weight.
	 * @param position a uniformly distributed random number from 0 (inclusive) to 1
	 * (exclusive)
	 * @return the service's name
	 */
	public String selectService(double position) {
		double total = this.shares.stream().mapToDouble(WeightedService::weight).sum();
		double remaining = position * total;
		for (WeightedService share : this.shares) {
			remaining -= share.weight();
			if (remaining < 0) {
				return share.service();
			}
		}
		return this.shares.get(this.shares.size() - 1).service();
	}

}
