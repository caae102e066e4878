package org.plantainspur.core.request;

/**
 * The outcome of one attempt to run a request on a target.
 */
public sealed interface DispatchOutcome {

	/**
	 * The target sent a complete answer, whatever its status.
	 *
	 * @param status the HTTP status code
	 * @param headers the header fields in the target's order
	 * @param body the whole body, empty if there is none
	 */
	record Answered(int status, Headers headers, byte[] body) implements DispatchOutcome {
	}

	/**
	 * No byte of the request was sent, so the target has certainly not run it.
	 *
	 * @param reason what failed, as text for the caller or an operator
	 */
	record NotSent(String reason) implements DispatchOutcome {
	}

	/**
	 * The target answered that it did not run the request.
	 *
	 * @param draining whether the target also announced that it is draining
	 */
	record RefusedByTarget(boolean draining) implements DispatchOutcome {
	}

	/**
	 * The request was sent, but no complete answer arrived, so it may have run.
	 *
	 * @param cause why there is no complete answer
	 * @param reason the cause in detail, as text for the caller or an operator
	 * @param receivedBytes how many bytes of the answer's body arrived
	 */
	record Unknown(Cause cause, String reason, long receivedBytes) implements DispatchOutcome {

		/**
		 * Creates an outcome for an attempt that received no byte of the answer's body.
		 * @param cause why there is no complete answer
		 * @param reason the cause in detail, as text for the caller or an operator
		 */
		public Unknown(Cause cause, String reason) {
			this(cause, reason, 0);
		}

		/**
		 * Why an attempt received no complete answer.
		 */
		public enum Cause {

			/** The target did not complete its answer in time. */
			TIMEOUT,

			/** The connection closed before the answer was complete. */
			RESET,

			/** The answer exceeded the size limit. */
			TOO_LARGE

		}

	}

}
