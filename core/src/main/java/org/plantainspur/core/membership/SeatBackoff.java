package org.plantainspur.core.membership;

import java.util.concurrent.atomic.AtomicReference;

/**
 * Delays the requests of a process that loses its seat again and again, for instance
 * since its peers cannot reach it while it reaches the platform. Each change of seats
 * moves rate shares and delays the acceptance of changes.
 */
final class SeatBackoff {

	/** The wait after the second loss; it doubles with each further one. */
	static final long FIRST_WAIT_MILLIS = 10_000;

	/** A host that its peers can reach again is a member within about this time. */
	static final long LONGEST_WAIT_MILLIS = 60_000;

	/** A seat that was kept for this long starts the count anew. */
	static final long KEPT_MILLIS = 300_000;

	private static final int LARGEST_SHIFT = 10;

	private final AtomicReference<Losses> losses = new AtomicReference<>(new Losses(0, 0));

	/**
	 * Notes that the process has lost its seat.
	 * @param nowMillis the current reading of the process clock
	 */
	void lost(long nowMillis) {
		this.losses.updateAndGet((before) -> new Losses(
				(nowMillis - before.lastMillis() >= KEPT_MILLIS) ? 1 : before.count() + 1, nowMillis));
	}

	/**
	 * Returns whether the process may take a seat.
	 * @param nowMillis the current reading of the process clock
	 * @return whether it never lost one, or the wait after its last loss is over
	 */
	boolean over(long nowMillis) {
		Losses current = this.losses.get();
		return nowMillis - current.lastMillis() >= current.waitMillis();
	}

	private record Losses(int count, long lastMillis) {

		// The first loss is followed by no wait: a host that was frozen or cut off once
		// serves again as soon as it can.
		long waitMillis() {
			return (this.count < 2) ? 0
					: Math.min(LONGEST_WAIT_MILLIS, FIRST_WAIT_MILLIS << Math.min(LARGEST_SHIFT, this.count - 2));
		}

	}

}
