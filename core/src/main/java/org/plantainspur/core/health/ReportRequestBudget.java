package org.plantainspur.core.health;

/**
 * Bounds how often a coordinator asks the members for reports. In the long run there are
 * at most as many requested reports as regular ones.
 */
final class ReportRequestBudget {

	/** Requests closer to each other than a round trip between regions bring little. */
	static final long INTERVAL_MILLIS = 100;

	/** The interval of regular reports. */
	static final long REFILL_MILLIS = 500;

	/** Covers the two seconds within which a sick target is to be detected. */
	static final int BURST = 20;

	private double credit = BURST;

	private long creditAt = Long.MIN_VALUE;

	private long requestedAt = Long.MIN_VALUE;

	/**
	 * Takes one request out of the budget.
	 * @param nowMillis the current reading of the process clock
	 * @return whether the members may be asked now
	 */
	boolean take(long nowMillis) {
		boolean tooSoon = this.requestedAt != Long.MIN_VALUE && nowMillis - this.requestedAt < INTERVAL_MILLIS;
		return !tooSoon && takeForVerdict(nowMillis);
	}

	/**
	 * Takes one request out of the budget for a verdict that the members do not have yet.
	 * It does not wait for the interval, since an earlier request may have been answered
	 * before the verdict was reached.
	 * @param nowMillis the current reading of the process clock
	 * @return whether the members may be asked now
	 */
	boolean takeForVerdict(long nowMillis) {
		if (this.creditAt != Long.MIN_VALUE) {
			this.credit = Math.min(BURST, this.credit + (nowMillis - this.creditAt) / (double) REFILL_MILLIS);
		}
		this.creditAt = nowMillis;
		if (this.credit < 1) {
			return false;
		}
		this.credit -= 1;
		this.requestedAt = nowMillis;
		return true;
	}

}
