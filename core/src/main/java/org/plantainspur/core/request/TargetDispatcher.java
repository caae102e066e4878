package org.plantainspur.core.request;

import org.plantainspur.core.routing.Target;

/**
 * Sends a request to a target once, without retries or redirects.
 */
public interface TargetDispatcher {

	/**
	 * Sends a request and reads the whole answer.
	 * @param target the target
	 * @param request the request, without the caller's key
	 * @param idempotent whether the request may run more than once
	 * @param timeoutMillis the time for the whole exchange, in milliseconds
	 * @return the outcome
	 */
	DispatchOutcome dispatch(Target target, CallerRequest request, boolean idempotent, long timeoutMillis);

}
