package org.plantainspur.core.proxy;

/**
 * The phases of a graceful stop, in milliseconds since its start. The host first serves
 * callers that do not know of the stop yet, then refuses new requests while open ones
 * end, and ends itself before it would be killed.
 *
 * @param graceMs the time from the start of the stop until the process is killed
 */
public record ShutdownSchedule(long graceMs) {

	/**
	 * New requests are served for at most this long. The directory lets callers cache an
	 * address for 1 s, and some keep it three times as long; after 3 s only callers
	 * without a newer address connect. A request that is sent later than 3 s after the
	 * signal could not be answered in time by a slow target, and must not be accepted;
	 * the rest covers the delay of the signal and the interval between two checks.
	 */
	private static final long MAX_ACCEPT_MS = 2_800;

	/**
	 * The fraction of the grace period during which new requests are served if that is
	 * shorter than {@link #MAX_ACCEPT_MS}.
	 */
	private static final double ACCEPT_FRACTION = 0.5;

	/**
	 * The fraction of the grace period after which the process ends as soon as no request
	 * is open. Callers that were given this host's address just before the stop still
	 * connect until then.
	 */
	private static final double EARLY_END_FRACTION = 0.83;

	/**
	 * The process ends this long before it would be killed, so that responses still reach
	 * their callers.
	 */
	private static final long MAX_KILL_MARGIN_MS = 900;

	/**
	 * The fraction of the grace period that the margin takes if that is shorter than
	 * {@link #MAX_KILL_MARGIN_MS}. Work that ends before the last sixth of the grace
	 * period must not be cut off.
	 */
	private static final double KILL_MARGIN_FRACTION = 1 / 6.0;

	/**
	 * Returns whether new requests are refused.
	 * @param elapsedMs the time since the start of the stop
	 * @return {@code true} in the later part of the stop
	 */
	public boolean refusesRequests(long elapsedMs) {
		return elapsedMs >= Math.min(MAX_ACCEPT_MS, this.graceMs * ACCEPT_FRACTION);
	}

	/**
	 * Returns whether the process may end.
	 * @param elapsedMs the time since the start of the stop
	 * @param openRequests the number of requests without a response
	 * @return {@code true} late in the grace period if no request is open, and in any
	 * case shortly before the process would be killed
	 */
	public boolean mayEnd(long elapsedMs, int openRequests) {
		double killMarginMs = Math.min(MAX_KILL_MARGIN_MS, this.graceMs * KILL_MARGIN_FRACTION);
		return elapsedMs >= this.graceMs - killMarginMs
				|| (elapsedMs >= this.graceMs * EARLY_END_FRACTION && openRequests == 0);
	}

}
