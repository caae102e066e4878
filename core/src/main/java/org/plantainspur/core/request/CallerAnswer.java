package org.plantainspur.core.request;

/**
 * What a caller gets.
 */
public sealed interface CallerAnswer {

	/**
	 * The target's whole answer.
	 *
	 * @param status the HTTP status
	 * @param headers the header fields
	 * @param body the body
	 */
	record Answered(int status, Headers headers, byte[] body) implements CallerAnswer {
	}

	/**
	 * A refusal by the system.
	 *
	 * @param problem the reason
	 */
	record Refused(Problem problem) implements CallerAnswer {
	}

}
