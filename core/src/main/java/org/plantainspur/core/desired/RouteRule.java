package org.plantainspur.core.desired;

import java.util.List;

/**
 * A route: which requests it takes, where they go, and what may be done with them.
 *
 * @param name the route's name
 * @param host the value of the Host header, in lower case
 * @param prefix what the path begins with; begins and ends with a slash
 * @param idempotent whether a request may run more than once
 * @param timeoutMs the longest time that a request may be kept waiting, in milliseconds
 * @param latencyObjectiveMs the time within which an answer has its full value, in
 * milliseconds
 * @param priority the rank; 0 is the highest
 * @param shares the services that take the requests, at least one
 * @param maxAttempts the largest number of targets to which one request may be sent
 * @param open whether requests need no key
 */
public record RouteRule(String name, String host, String prefix, boolean idempotent, long timeoutMs,
		long latencyObjectiveMs, int priority, List<ServiceShare> shares, int maxAttempts, boolean open) {

	public RouteRule {
		shares = List.copyOf(shares);
		if (shares.isEmpty()) {
			throw new IllegalArgumentException("route '" + name + "' has no service; name at least one");
		}
	}

	/**
	 * Returns the service for a request.
	 * @param position a uniformly distributed number from 0 (inclusive) to 1 (exclusive)
	 * @return the service's name
	 */
	public String service(double position) {
		double total = this.shares.stream().mapToDouble(ServiceShare::weight).sum();
		double left = position * total;
		for (ServiceShare share : this.shares) {
			left -= share.weight();
			if (left < 0) {
				return share.service();
			}
		}
		return this.shares.get(this.shares.size() - 1).service();
	}

}
