package org.plantainspur.core.request;

/**
 * Decides whether a request is tried on another target.
 */
public interface RetryPolicy {

	/**
	 * Notes that a request has arrived, which earns budget for retries.
	 */
	void requestArrived();

	/**
	 * Decides on a further attempt.
	 * @param service the service that the request is for
	 * @param repeatable whether the request may run more than once
	 * @param outcome the outcome of the last attempt
	 * @param attempts the number of attempts so far
	 * @return whether to try another target
	 */
	boolean retry(String service, boolean repeatable, DispatchOutcome outcome, int attempts);

}
