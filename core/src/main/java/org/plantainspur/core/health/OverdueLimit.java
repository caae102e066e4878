package org.plantainspur.core.health;

import java.util.concurrent.atomic.AtomicReference;

/**
 * How long a request to a service may run before it counts as overdue, from the mean
 * latency of the service's answers at this host. A service that is slow everywhere raises
 * the limit after some dozens of answers.
 */
final class OverdueLimit {

	/**
	 * With a log-normal latency of sigma 0.5, two requests among 100,000 run longer than
	 * this multiple of the mean.
	 */
	static final double MEAN_MULTIPLE = 7;

	/**
	 * Short pauses of a target or of this process stay below this. At 300 ms pauses and a
	 * median of 80 ms, 0.4% of the requests that begin in a pause exceed it.
	 */
	static final long LEAST_MILLIS = 600;

	/** With fewer answers nothing is known about the usual latency. */
	static final int LEAST_ANSWERS = 20;

	private static final int MEMORY_ANSWERS = 64;

	private final AtomicReference<Mean> mean = new AtomicReference<>(new Mean(0, 0));

	void answered(long latencyMillis) {
		this.mean.updateAndGet((old) -> old.plus(latencyMillis));
	}

	/**
	 * Returns which of the running requests are overdue.
	 * @param nowMillis the current reading of the process clock
	 * @return those that began before this; {@link Long#MIN_VALUE}, so none, while too
	 * little is known
	 */
	long startedBefore(long nowMillis) {
		Mean known = this.mean.get();
		return (known.answers() < LEAST_ANSWERS) ? Long.MIN_VALUE
				: nowMillis - Math.max(LEAST_MILLIS, Math.round(MEAN_MULTIPLE * known.millis()));
	}

	private record Mean(int answers, double millis) {

		Mean plus(long latencyMillis) {
			int next = Math.min(MEMORY_ANSWERS, this.answers + 1);
			return new Mean(next, this.millis + (latencyMillis - this.millis) / next);
		}

	}

}
