package org.plantainspur.core.request;

/**
 * Decides whether a request is sent to another target after an attempt.
 */
public interface RetryPolicy {

	/**
	 * Counts an arrived request, which adds to the retry budget.
	 */
	void requestArrived();

	/**
	 * Decides whether to make another attempt. A retry that is granted may be charged to
	 * the retry budget.
	 * @param service the name of the service that the request is for
	 * @param idempotent whether the request may run more than once
	 * @param outcome the outcome of the last attempt
	 * @param attempts the number of attempts made so far, at least 1
	 * @return whether to send the request to another target
	 */
	boolean shouldRetry(String service, boolean idempotent, DispatchOutcome outcome, int attempts);

}
