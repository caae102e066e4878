package org.plantainspur.core.request;

import org.plantainspur.core.configuration.Route;

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
	 * @param route the request's route
	 * @param outcome the outcome of the last attempt
	 * @param attempts the number of attempts so far
	 * @return whether to try another target
	 */
	boolean retry(Route route, DispatchOutcome outcome, int attempts);

}
