package org.plantainspur.core.membership;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Delays the seat requests of a process that loses its seat repeatedly, for instance
 * because it can reach the platform but its peers cannot reach it. The delay is needed
 * since each change of seats moves shares of rate limits and delays the acceptance of
 * changes.
 */
final class SeatBackoff {

	/** The wait after the second loss. It doubles with each further loss. */
	static final long FIRST_WAIT_MILLIS = 10_000;

	/**
	 * The upper bound of the wait. A host that its peers can reach again becomes a member
	 * within about this time.
	 */
	static final long MAXIMUM_WAIT_MILLIS = 60_000;

	/** The time without a loss after which the next loss counts as the first one. */
	static final long RESET_AFTER_MILLIS = 300_000;

	/** Keeps the doubled wait from overflowing after many losses. */
	private static final int MAXIMUM_SHIFT = 10;

	private final AtomicReference<Losses> losses = new AtomicReference<>(new Losses(0, 0));

	/**
	 * Records that the process has lost its seat.
	 * @param nowMillis the current reading of the process clock
	 */
	void recordLoss(long nowMillis) {
		this.losses.updateAndGet((before) -> new Losses(
				(nowMillis - before.lastMillis() >= RESET_AFTER_MILLIS) ? 1 : before.count() + 1, nowMillis));
	}

	/**
	 * Returns whether the process may request a seat.
	 * @param nowMillis the current reading of the process clock
	 * @return {@code true} if the process never lost a seat, or if the wait after its
	 * last loss is over
	 */
	boolean isOver(long nowMillis) {
		Losses current = this.losses.get();
		return nowMillis - current.lastMillis() >= current.waitMillis();
	}

	private record Losses(int count, long lastMillis) {

		// There is no wait after the first loss, so that a host that was paused or
		// disconnected once serves again as soon as possible.
		long waitMillis() {
			return (this.count < 2) ? 0
					: Math.min(MAXIMUM_WAIT_MILLIS, FIRST_WAIT_MILLIS << Math.min(MAXIMUM_SHIFT, this.count - 2));
		}

	}

}
