package org.plantainspur.core.proxy;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * This host's part of the fleet's budget for attempts beyond the first, by service. The
 * budget of a window is a share of the requests plus a constant; each request earns its
 * share here, and the constant is divided among the hosts.
 */
public final class RetryBudget {

	/** Fixed-point unit: thousandths of an attempt. */
	private static final long ATTEMPT = 1_000;

	private final long earnedPerRequest;

	private final long largest;

	private final ConcurrentMap<String, AtomicLong> tokens = new ConcurrentHashMap<>();

	/**
	 * Creates a budget.
	 * @param ratio the attempts that each request earns; below the fleet's ratio
	 * @param constant the attempts that this host may make at once, at least 1
	 */
	public RetryBudget(double ratio, double constant) {
		this.earnedPerRequest = (long) (ratio * ATTEMPT);
		this.largest = (long) (Math.max(1, constant) * ATTEMPT);
	}

	/**
	 * Records a request.
	 * @param service its service
	 */
	public void earn(String service) {
		tokens(service).updateAndGet((level) -> Math.min(this.largest, level + this.earnedPerRequest));
	}

	/**
	 * Takes one attempt beyond the first out of the budget.
	 * @param service the service
	 * @return whether the attempt may be made
	 */
	public boolean tryTake(String service) {
		AtomicLong level = tokens(service);
		long before = level.get();
		while (before >= ATTEMPT) {
			if (level.compareAndSet(before, before - ATTEMPT)) {
				return true;
			}
			before = level.get();
		}
		return false;
	}

	private AtomicLong tokens(String service) {
		return this.tokens.computeIfAbsent(service, (name) -> new AtomicLong(this.largest));
	}

}
