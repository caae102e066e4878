package org.plantainspur.standins.platform;

/**
 * Counts operations in each second of the monotonic clock, and keeps the highest count of
 * any second.
 */
final class RateCounter {

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private long total;

	private long second = Long.MIN_VALUE;

	private long countInSecond;

	private long peak;

	synchronized void count(long nowNanos) {
		advanceTo(nowNanos);
		this.total++;
		this.countInSecond++;
		this.peak = Math.max(this.peak, this.countInSecond);
	}

	synchronized Rates rates(long nowNanos) {
		advanceTo(nowNanos);
		return new Rates(this.total, this.countInSecond, this.peak);
	}

	synchronized void reset() {
		this.total = 0;
		this.countInSecond = 0;
		this.peak = 0;
	}

	private void advanceTo(long nowNanos) {
		long currentSecond = Math.floorDiv(nowNanos, NANOS_PER_SECOND);
		if (currentSecond != this.second) {
			this.second = currentSecond;
			this.countInSecond = 0;
		}
	}

	/**
	 * A copy of the counts.
	 *
	 * @param total operations since the start or the last reset
	 * @param thisSecond operations so far in the current second
	 * @param peakPerSecond the highest number of operations in one second
	 */
	record Rates(long total, long thisSecond, long peakPerSecond) {
	}

}
