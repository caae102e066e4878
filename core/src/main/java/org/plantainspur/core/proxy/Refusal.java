package org.plantainspur.core.proxy;

/**
 * A reason for which the host itself answers a request instead of a target, with the HTTP
 * status of that response.
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

	/** The request is not valid HTTP. */
	MALFORMED(400, true, 0),

	/** The request line and headers are larger than the desired state allows. */
	HEADERS_TOO_LARGE(431, true, 0),

	/** The service has no target that could run the request. */
	NO_TARGET(503, true, 400),

	/** The hosts that reach a target have no room to relay the request. */
	RELAYS_BUSY(503, true, 200),

	/** The targets that could run the request name limits that are used up. */
	TARGETS_LIMITED(503, true, 1_000),

	/** All targets that got the request declined it without running it. */
	ALL_DECLINED(503, true, 200),

	/**
	 * The deadline passed while the request waited to be sent again to targets that had
	 * declined it.
	 */
	NO_ROOM(503, true, 300),

	/** The same request has crashed the targets that ran it. */
	QUARANTINED(503, true, 10_000),

	/** The host has no memory for the body of the request. */
	NO_MEMORY(503, true, 500),

	/** The host is stopping. */
	STOPPING(503, true, 100),

	/** The request was sent and may have run, but no complete response arrived. */
	BROKEN(502, false, 0),

	/** The request was sent and may have run, but no response arrived in time. */
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
	 * Returns the HTTP status of the response.
	 * @return the status code, from 400 to 504
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
	 * Returns how long the caller should wait before a retry.
	 * @return the delay in milliseconds, 0 if a retry does not help
	 */
	public long retryAfterMs() {
		return this.retryAfterMs;
	}

}
