package org.plantainspur.core.target;

/**
 * The outcome of one attempt to run a request on a target. The decision log writes it as
 * text, so the names of the records and of their components are read by operators.
 */
public sealed interface AttemptOutcome {

	/**
	 * Returns whether the target may have run the request.
	 * @return {@code false} only if the target certainly has not run the request and
	 * never will
	 */
	default boolean mayHaveRun() {
		return reachedTarget() && !(this instanceof Declined);
	}

	/**
	 * Returns whether the request may have reached the target.
	 * @return {@code false} if nothing of it was sent to the target
	 */
	default boolean reachedTarget() {
		return !(this instanceof NotSent || this instanceof Withheld);
	}

	/**
	 * Returns whether the outcome tells something of the target, and not only of the path
	 * to it.
	 * @return {@code false} if it says nothing of the target's health
	 */
	default boolean concernsTarget() {
		return reachedTarget() && !(this instanceof Cancelled || this instanceof RelayLost);
	}

	/**
	 * The target ran the request and its response arrived completely.
	 *
	 * @param status the HTTP status code of the target's response
	 * @param sound whether the response counts as a success of the target: it is neither
	 * a server error nor corrupted
	 */
	record Answered(int status, boolean sound) implements AttemptOutcome {
	}

	/**
	 * The target replied that it did not run the request and never will.
	 *
	 * @param status the HTTP status code of the target's response
	 * @param otherTarget whether another target now listens at the address and sent the
	 * reply
	 */
	record Declined(int status, boolean otherTarget) implements AttemptOutcome {
	}

	/**
	 * The attempt ended before any byte of the request could reach the target.
	 *
	 * @param reason the observed error, as text for the log
	 */
	record NotSent(String reason) implements AttemptOutcome {
	}

	/**
	 * The request was not sent, since the target said before that it is leaving or wants
	 * no requests for a while. This tells nothing of the target's health.
	 */
	record Withheld() implements AttemptOutcome {
	}

	/**
	 * The request was sent, but no complete response arrived, or none that can be used;
	 * the target may have run the request.
	 *
	 * @param reason the observed error, as text for the log
	 */
	record Broken(String reason) implements AttemptOutcome {
	}

	/**
	 * The request was sent, and the connection ended before any byte of a response; the
	 * target may have run the request, and may have crashed.
	 *
	 * @param reason the observed error, as text for the log
	 */
	record ConnectionLost(String reason) implements AttemptOutcome {
	}

	/**
	 * The request was sent, but no response arrived in time; the target may have run it.
	 */
	record TimedOut() implements AttemptOutcome {
	}

	/**
	 * The request was sent to another host to be relayed, and the connection to that host
	 * ended or gave no response in time; the target may have run the request.
	 *
	 * @param reason the observed error, as text for the log
	 * @param timedOut whether no response arrived in time
	 */
	record RelayLost(String reason, boolean timedOut) implements AttemptOutcome {
	}

	/** The request was cancelled because its caller disconnected; it may have run. */
	record Cancelled() implements AttemptOutcome {
	}

}
