package org.plantainspur.core.proxy;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.time.Clock;

/**
 * This host's part of the fleet's retry budget, as a token bucket for each service. In
 * each window, the fleet may make retries up to a fraction of its requests plus a
 * constant. Each request earns its fraction of a token on the host that it reaches, and
 * the constant is refilled evenly over the window. Only hosts that carry traffic get a
 * part of the constant, since the many hosts on standby see few requests.
 */
public final class RetryBudget {

	/** Tolerance for rounding, so that ten earned tenths make one token. */
	private static final double ROUNDING_TOLERANCE = 1e-9;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final Clock clock;

	private final double earnedPerRequest;

	private final double capacity;

	private final double refillPerSecond;

	private final AtomicBoolean carriesTraffic = new AtomicBoolean(true);

	private final ConcurrentMap<String, AtomicReference<Level>> levels = new ConcurrentHashMap<>();

	/**
	 * Creates a budget.
	 * @param clock the host's clock
	 * @param retriesPerRequest the fraction of a retry that each request earns, from 0 to
	 * 1
	 * @param retriesPerWindow this host's part of the constant, for a host that carries
	 * traffic: the retries in each window that need not be earned
	 * @param windowMs the length of a window, in milliseconds
	 */
	public RetryBudget(Clock clock, double retriesPerRequest, double retriesPerWindow, long windowMs) {
		this.clock = clock;
		this.earnedPerRequest = retriesPerRequest;
		// A full bucket plus the refill of one window make up the constant.
		this.capacity = Math.max(1, retriesPerWindow / 2);
		this.refillPerSecond = retriesPerWindow / 2 / (windowMs / MILLIS_PER_SECOND);
	}

	/**
	 * Sets whether this host carries traffic; initially it does.
	 * @param carriesTraffic {@code false} if the host may only make the retries that its
	 * own requests earn
	 */
	public void setCarriesTraffic(boolean carriesTraffic) {
		this.carriesTraffic.set(carriesTraffic);
	}

	/**
	 * Records a request, which earns its fraction of a retry.
	 * @param service the name of the request's service
	 */
	public void earn(String service) {
		long nowMs = this.clock.millis();
		level(service).updateAndGet((level) -> refilled(level, nowMs, this.earnedPerRequest));
	}

	/**
	 * Takes one retry out of the budget.
	 * @param service the service's name
	 * @return whether the retry may be made
	 */
	public boolean tryTake(String service) {
		long nowMs = this.clock.millis();
		AtomicReference<Level> level = level(service);
		Level previous = level.get();
		while (true) {
			Level current = refilled(previous, nowMs, 0);
			if (current.tokens() < 1 - ROUNDING_TOLERANCE) {
				return false;
			}
			if (level.compareAndSet(previous, new Level(current.tokens() - 1, nowMs))) {
				return true;
			}
			previous = level.get();
		}
	}

	/**
	 * Returns whether the bucket holds at least its capacity, so that no part of the
	 * constant is spent.
	 * @param service the service's name
	 * @return {@code false} if a part of the constant is spent; the rest should then be
	 * kept for requests that fail on targets believed to be healthy
	 */
	public boolean hasSurplus(String service) {
		return refilled(level(service).get(), this.clock.millis(), 0).tokens() >= this.capacity;
	}

	private Level refilled(Level level, long nowMs, double earned) {
		boolean carrying = this.carriesTraffic.get();
		double refill = carrying ? Math.max(0, nowMs - level.updatedMs()) / MILLIS_PER_SECOND * this.refillPerSecond
				: 0;
		// With an earned token the level may rise to twice the capacity, by the refill
		// alone only to the capacity. A host that carries no traffic saves up at most one
		// token.
		double earnedLimit = carrying ? this.capacity * 2 : 1;
		double limit = (earned > 0) ? earnedLimit : Math.max(Math.min(earnedLimit, this.capacity), level.tokens());
		return new Level(Math.min(limit, level.tokens() + refill + earned), Math.max(nowMs, level.updatedMs()));
	}

	private AtomicReference<Level> level(String service) {
		return this.levels.computeIfAbsent(service, (name) -> new AtomicReference<>(
				new Level(this.carriesTraffic.get() ? this.capacity : 0, this.clock.millis())));
	}

	private record Level(double tokens, long updatedMs) {
	}

}
