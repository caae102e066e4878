package org.plantainspur.core.proxy;

/**
 * An answer of the host's own in place of a target's.
 */
public enum Refusal {

	/** No desired state has been read yet. */
	NO_DESIRED_STATE(503, true, 500),

	/** No route matches. */
	NO_ROUTE(404, true, 0),

	/** The key is missing or no account holds it. */
	KEY_NOT_VALID(401, true, 0),

	/** The account has used its rate and burst. */
	OVER_LIMIT(429, true, 1_000),

	/** The request is not proper HTTP. */
	MALFORMED(400, true, 0),

	/** The request's line or headers are larger than the desired state allows. */
	HEADERS_TOO_LARGE(431, true, 0),

	/** The service has no target that could run the request. */
	NO_TARGET(503, true, 400),

	/** All targets that were asked said that they did not run the request. */
	ALL_DECLINED(503, true, 200),

	/** The request waited for a target until its time was nearly over. */
	NO_ROOM(503, true, 300),

	/** The host is stopping. */
	STOPPING(503, true, 100),

	/** The request was sent and may have run; no complete answer came. */
	BROKEN(502, false, 0),

	/** The request was sent and may have run; no answer came in time. */
	TIMED_OUT(504, false, 0);

	private final int status;

	private final boolean notRun;

	private final long retryAfterMs;

	Refusal(int status, boolean notRun, long retryAfterMs) {
		this.status = status;
		this.notRun = notRun;
		this.retryAfterMs = retryAfterMs;
	}

	/**
	 * Returns the HTTP status.
	 * @return the status
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns whether the request has certainly not run.
	 * @return {@code true} if it has not run and never will
	 */
	public boolean notRun() {
		return this.notRun;
	}

	/**
	 * Returns when the caller may come back.
	 * @return a delay in milliseconds, 0 if coming back does not help
	 */
	public long retryAfterMs() {
		return this.retryAfterMs;
	}

}
