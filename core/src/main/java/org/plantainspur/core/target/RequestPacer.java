package org.plantainspur.core.target;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Keeps an interval between requests. Thread-safe.
 */
final class RequestPacer {

	private static final long NOT_PACED = Long.MIN_VALUE;

	private final AtomicLong lastMs = new AtomicLong(NOT_PACED);

	/**
	 * Takes a permit if the interval since the last one has passed. Before the first
	 * permit the interval has to pass, too, as other hosts begin at the same moment.
	 * @param nowMs the clock's current reading in milliseconds
	 * @param sinceMs the time from which on permits may be taken
	 * @param intervalMs the interval in milliseconds
	 * @return whether a permit was taken
	 */
	boolean tryTake(long nowMs, long sinceMs, long intervalMs) {
		this.lastMs.compareAndSet(NOT_PACED, nowMs);
		long previous = this.lastMs.get();
		while (nowMs - Math.max(previous, sinceMs) >= intervalMs) {
			if (this.lastMs.compareAndSet(previous, nowMs)) {
				return true;
			}
			previous = this.lastMs.get();
		}
		return false;
	}

	/**
	 * Returns when the next permit is available.
	 * @param nowMs the clock's current reading in milliseconds
	 * @param sinceMs the time from which on permits may be taken
	 * @param intervalMs the interval in milliseconds
	 * @return the time of the clock in milliseconds, also in the past
	 */
	long nextMs(long nowMs, long sinceMs, long intervalMs) {
		this.lastMs.compareAndSet(NOT_PACED, nowMs);
		return Math.max(this.lastMs.get(), sinceMs) + intervalMs;
	}

}
