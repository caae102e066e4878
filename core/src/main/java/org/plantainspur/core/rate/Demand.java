package org.plantainspur.core.rate;

/**
 * An estimate of an account's requests at one host.
 *
 * @param startMillis the start of the present window
 * @param arrivals requests in the present window
 * @param perMilli the smoothed requests in a millisecond before the present window
 */
record Demand(long startMillis, long arrivals, double perMilli) {

	private static final long WINDOW_MILLIS = 100;

	/** Half a second of history smooths bursts and follows a shift in time. */
	private static final double SMOOTHING_MILLIS = 500;

	Demand arrived(long now) {
		long elapsed = now - this.startMillis;
		if (elapsed < WINDOW_MILLIS) {
			return new Demand(this.startMillis, this.arrivals + 1, this.perMilli);
		}
		double weight = 1 - Math.exp(-elapsed / SMOOTHING_MILLIS);
		double smoothed = this.perMilli + weight * ((double) this.arrivals / elapsed - this.perMilli);
		return new Demand(now, 1, smoothed);
	}

	/**
	 * Returns the demand in a coming time.
	 * @param now the present
	 * @param millis the time
	 * @return the amount of tokens
	 */
	double expected(long now, long millis) {
		double recent = (double) this.arrivals / Math.max(WINDOW_MILLIS, now - this.startMillis);
		return Math.max(recent, this.perMilli) * millis * Amounts.TOKEN;
	}

}
