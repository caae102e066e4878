package org.plantainspur.core.request;

/**
 * The answer to a caller: either a target's answer or a refusal by the system.
 */
public sealed interface CallerAnswer {

	/**
	 * The complete answer of a target, passed on to the caller.
	 *
	 * @param status the HTTP status code
	 * @param headers the header fields in the target's order
	 * @param body the whole body, empty if there is none
	 */
	record Answered(int status, Headers headers, byte[] body) implements CallerAnswer {
	}

	/**
	 * A refusal by the system, which has no target's answer to pass on.
	 *
	 * @param problem why the request was refused, and whether it may have run
	 */
	record Refused(Problem problem) implements CallerAnswer {
	}

}
