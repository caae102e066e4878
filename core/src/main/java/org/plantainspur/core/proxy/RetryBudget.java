package org.plantainspur.core.proxy;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.time.Clock;

/**
 * This host's part of the fleet's budget for attempts beyond the first, by service. The
 * fleet may make a share of its requests plus a constant in each window; each request
 * earns its share here, and the constant flows back over the window. The constant belongs
 * to the hosts that carry traffic: the others see few requests, but are many.
 */
public final class RetryBudget {

	/** Ten tenths of an attempt are one. */
	private static final double ROUNDING = 1e-9;

	private static final double THOUSAND = 1_000;

	private final Clock clock;

	private final double earnedPerRequest;

	private final double largest;

	private final double perSecond;

	private final AtomicBoolean carries = new AtomicBoolean(true);

	private final ConcurrentMap<String, AtomicReference<Level>> levels = new ConcurrentHashMap<>();

	/**
	 * Creates a budget.
	 * @param clock the host's clock
	 * @param ratio the attempts that each request earns
	 * @param constant the attempts of a window that need no requests, for one host that
	 * carries traffic
	 * @param windowMs the length of a window, in milliseconds
	 */
	public RetryBudget(Clock clock, double ratio, double constant, long windowMs) {
		this.clock = clock;
		this.earnedPerRequest = ratio;
		// A full budget and what flows back in one window together make the constant.
		this.largest = Math.max(1, constant / 2);
		this.perSecond = constant / 2 / (windowMs / THOUSAND);
	}

	/**
	 * Sets whether this host carries traffic, as it does at first.
	 * @param carrying {@code false} if it only makes the attempts that its own requests
	 * earn
	 */
	public void carries(boolean carrying) {
		this.carries.set(carrying);
	}

	/**
	 * Records a request.
	 * @param service its service
	 */
	public void earn(String service) {
		long now = this.clock.millis();
		level(service).updateAndGet((level) -> refilled(level, now, this.earnedPerRequest));
	}

	/**
	 * Takes one attempt beyond the first out of the budget.
	 * @param service the service
	 * @return whether the attempt may be made
	 */
	public boolean tryTake(String service) {
		long now = this.clock.millis();
		AtomicReference<Level> level = level(service);
		Level before = level.get();
		while (true) {
			Level present = refilled(before, now, 0);
			if (present.tokens() < 1 - ROUNDING) {
				return false;
			}
			if (level.compareAndSet(before, new Level(present.tokens() - 1, now))) {
				return true;
			}
			before = level.get();
		}
	}

	/**
	 * Returns whether attempts beyond the first can be made freely.
	 * @param service the service
	 * @return {@code false} when only the constant is left, which is for requests that
	 * fail at targets thought to be well
	 */
	public boolean ample(String service) {
		return refilled(level(service).get(), this.clock.millis(), 0).tokens() >= this.largest;
	}

	private Level refilled(Level level, long now, double earned) {
		boolean constant = this.carries.get();
		double flowed = constant ? Math.max(0, now - level.atMs()) / THOUSAND * this.perSecond : 0;
		// What requests earn may be saved up to the same amount once more.
		double saved = constant ? this.largest * 2 : 1;
		double most = (earned > 0) ? saved : Math.max(Math.min(saved, this.largest), level.tokens());
		return new Level(Math.min(most, level.tokens() + flowed + earned), Math.max(now, level.atMs()));
	}

	private AtomicReference<Level> level(String service) {
		return this.levels.computeIfAbsent(service,
				(name) -> new AtomicReference<>(new Level(this.carries.get() ? this.largest : 0, this.clock.millis())));
	}

	private record Level(double tokens, long atMs) {
	}

}
