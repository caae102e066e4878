package org.plantainspur.core.request;

/**
 * What became of one attempt to run a request on a target.
 */
public sealed interface DispatchOutcome {

	/**
	 * A whole answer.
	 *
	 * @param status the HTTP status
	 * @param headers the header fields
	 * @param body the body
	 */
	record Answered(int status, Headers headers, byte[] body) implements DispatchOutcome {
	}

	/**
	 * Certainly nothing was sent.
	 *
	 * @param reason what went wrong
	 */
	record NotSent(String reason) implements DispatchOutcome {
	}

	/**
	 * The target said that it did not run the request.
	 *
	 * @param draining whether it also said that it is leaving
	 */
	record RefusedByTarget(boolean draining) implements DispatchOutcome {
	}

	/**
	 * The request may have run.
	 *
	 * @param cause what went wrong
	 * @param reason the detail for a person
	 * @param receivedBytes the bytes of the answer's body that arrived
	 */
	record Unknown(Cause cause, String reason, long receivedBytes) implements DispatchOutcome {

		/**
		 * Creates an outcome of which nothing arrived.
		 * @param cause what went wrong
		 * @param reason the detail for a person
		 */
		public Unknown(Cause cause, String reason) {
			this(cause, reason, 0);
		}

		/**
		 * Why the outcome is unknown.
		 */
		public enum Cause {

			/** No answer in time. */
			TIMEOUT,

			/** The connection ended before the whole answer arrived. */
			RESET,

			/** The answer is larger than the limit. */
			TOO_LARGE

		}

	}

}
