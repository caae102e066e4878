package org.plantainspur.core.health;

/**
 * A token bucket that bounds how often a coordinator asks the members for reports. In the
 * long run there are at most as many requested reports as regular ones.
 */
final class ReportRequestBudget {

	/**
	 * The minimum time between two requests for more evidence. Requests closer together
	 * than a round trip between regions add little.
	 */
	static final long INTERVAL_MILLIS = 100;

	/** One token is added per this time, the interval of regular reports. */
	static final long REFILL_MILLIS = 500;

	/**
	 * The bucket's capacity; allows a request every {@link #INTERVAL_MILLIS} during the
	 * two seconds within which an unhealthy target is to be detected.
	 */
	static final int BURST = 20;

	private double tokens = BURST;

	private long refilledAt = Long.MIN_VALUE;

	private long lastRequestAt = Long.MIN_VALUE;

	/**
	 * Takes a token for a request for more evidence.
	 * @param nowMillis the current reading of the process clock in milliseconds
	 * @return whether the members may be asked now
	 */
	boolean take(long nowMillis) {
		boolean tooSoon = this.lastRequestAt != Long.MIN_VALUE && nowMillis - this.lastRequestAt < INTERVAL_MILLIS;
		return !tooSoon && takeForVerdict(nowMillis);
	}

	/**
	 * Takes a token for a request that spreads a new verdict to the members. It ignores
	 * {@link #INTERVAL_MILLIS}, since an earlier request may have been answered before
	 * the verdict was reached.
	 * @param nowMillis the current reading of the process clock in milliseconds
	 * @return whether the members may be asked now
	 */
	boolean takeForVerdict(long nowMillis) {
		if (this.refilledAt != Long.MIN_VALUE) {
			this.tokens = Math.min(BURST, this.tokens + (nowMillis - this.refilledAt) / (double) REFILL_MILLIS);
		}
		this.refilledAt = nowMillis;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		this.lastRequestAt = nowMillis;
		return true;
	}

}
