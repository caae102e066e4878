package org.plantainspur.core.target;

/**
 * How one attempt at a target ended.
 */
public sealed interface AttemptOutcome {

	/**
	 * Returns whether the target may have run the request.
	 * @return {@code false} only if it certainly has not and never will
	 */
	default boolean mayHaveRun() {
		return !(this instanceof Declined || this instanceof NotSent);
	}

	/**
	 * The target ran the request and its answer came complete.
	 *
	 * @param status the HTTP status
	 * @param sound whether it speaks for the target: neither a server error nor spoilt
	 */
	record Answered(int status, boolean sound) implements AttemptOutcome {
	}

	/**
	 * The target said that it did not run the request and never will.
	 *
	 * @param status the HTTP status
	 * @param otherTarget whether another target answers at the address
	 */
	record Declined(int status, boolean otherTarget) implements AttemptOutcome {
	}

	/**
	 * No byte of the request can have reached the target.
	 *
	 * @param reason what was seen
	 */
	record NotSent(String reason) implements AttemptOutcome {
	}

	/**
	 * The request was sent and no complete answer came; it may have run.
	 *
	 * @param reason what was seen
	 */
	record Broken(String reason) implements AttemptOutcome {
	}

	/** The request was sent and no answer came in time; it may have run. */
	record TimedOut() implements AttemptOutcome {
	}

	/** The request was withdrawn because its caller left; it may have run. */
	record Cancelled() implements AttemptOutcome {
	}

}
