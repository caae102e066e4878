package org.plantainspur.core.rate;

/**
 * An estimate of an account's request rate at one host.
 *
 * @param windowStartMillis the instant at which the current window started
 * @param arrivals the requests in the current window
 * @param smoothedPerMilli the exponentially smoothed requests per millisecond before the
 * current window
 */
record DemandEstimate(long windowStartMillis, long arrivals, double smoothedPerMilli) {

	/**
	 * The minimum length of a window: the first request after this time adds the window's
	 * rate to the smoothed rate and starts the next window.
	 */
	private static final long WINDOW_MILLIS = 100;

	/**
	 * The time constant of the smoothing: long enough to even out bursts, short enough to
	 * follow a shift of demand.
	 */
	private static final double SMOOTHING_MILLIS = 500;

	DemandEstimate countArrival(long now) {
		long elapsed = now - this.windowStartMillis;
		if (elapsed < WINDOW_MILLIS) {
			return new DemandEstimate(this.windowStartMillis, this.arrivals + 1, this.smoothedPerMilli);
		}
		double weight = 1 - Math.exp(-elapsed / SMOOTHING_MILLIS);
		double smoothed = this.smoothedPerMilli + weight * ((double) this.arrivals / elapsed - this.smoothedPerMilli);
		return new DemandEstimate(now, 1, smoothed);
	}

	/**
	 * Returns the demand expected in the next milliseconds.
	 * @param now the current instant
	 * @param millis the length of the period in milliseconds
	 * @return the expected demand in nanotokens
	 */
	double expected(long now, long millis) {
		long elapsed = Math.max(WINDOW_MILLIS, now - this.windowStartMillis);
		double recent = (double) this.arrivals / elapsed;
		double decayed = this.smoothedPerMilli * Math.exp((WINDOW_MILLIS - elapsed) / SMOOTHING_MILLIS);
		return Math.max(recent, decayed) * millis * TokenAmounts.TOKEN;
	}

}
