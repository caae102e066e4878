package org.plantainspur.core.health;

import java.util.concurrent.atomic.AtomicReference;

/**
 * The running time above which a request to a service is overdue. It is a multiple of the
 * mean latency of the service's answers at this host, so a service that is slow on every
 * target raises it after some dozens of answers.
 */
final class OverdueLimit {

	/**
	 * The limit as a multiple of the mean latency. With a log-normal latency of sigma
	 * 0.5, two requests among 100,000 run longer.
	 */
	static final double MEAN_MULTIPLE = 7;

	/**
	 * The minimum limit; longer than short pauses of a target or of this process. With
	 * pauses of 300 ms and a median latency of 80 ms, 0.4% of the requests that start in
	 * a pause exceed it.
	 */
	static final long MIN_MILLIS = 600;

	/**
	 * The minimum number of answers. With fewer the mean is not meaningful, and no
	 * request is overdue.
	 */
	static final int MIN_ANSWERS = 20;

	/**
	 * The number of answers up to which all have equal weight in the mean; later ones
	 * form an exponential moving average over about this many.
	 */
	private static final int AVERAGED_ANSWERS = 64;

	private final AtomicReference<Mean> mean = new AtomicReference<>(new Mean(0, 0));

	void recordLatency(long latencyMillis) {
		this.mean.updateAndGet((old) -> old.plus(latencyMillis));
	}

	/**
	 * Returns the start time before which running requests are overdue.
	 * @param nowMillis the current reading of the process clock in milliseconds
	 * @return the start time on the same clock; {@link Long#MIN_VALUE}, so that none are
	 * overdue, while there are fewer than {@link #MIN_ANSWERS} answers
	 */
	long overdueIfStartedBefore(long nowMillis) {
		Mean current = this.mean.get();
		return (current.answers() < MIN_ANSWERS) ? Long.MIN_VALUE
				: nowMillis - Math.max(MIN_MILLIS, Math.round(MEAN_MULTIPLE * current.millis()));
	}

	private record Mean(int answers, double millis) {

		Mean plus(long latencyMillis) {
			int next = Math.min(AVERAGED_ANSWERS, this.answers + 1);
			return new Mean(next, this.millis + (latencyMillis - this.millis) / next);
		}

	}

}
