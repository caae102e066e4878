package org.plantainspur.standins.platform;

/**
 * Counts operations in seconds of the monotonic clock and keeps the highest count of a
 * second.
 */
final class RateCounter {

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private long total;

	private long second = Long.MIN_VALUE;

	private long inSecond;

	private long peak;

	synchronized void count(long nanos) {
		roll(nanos);
		this.total++;
		this.inSecond++;
		this.peak = Math.max(this.peak, this.inSecond);
	}

	synchronized Rates rates(long nanos) {
		roll(nanos);
		return new Rates(this.total, this.inSecond, this.peak);
	}

	synchronized void reset() {
		this.total = 0;
		this.inSecond = 0;
		this.peak = 0;
	}

	private void roll(long nanos) {
		long now = Math.floorDiv(nanos, NANOS_PER_SECOND);
		if (now != this.second) {
			this.second = now;
			this.inSecond = 0;
		}
	}

	/**
	 * The counts.
	 *
	 * @param total all operations
	 * @param thisSecond the operations of the running second
	 * @param peakPerSecond the most operations of one second
	 */
	record Rates(long total, long thisSecond, long peakPerSecond) {
	}

}
