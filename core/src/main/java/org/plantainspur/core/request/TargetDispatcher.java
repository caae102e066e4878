package org.plantainspur.core.request;

import org.plantainspur.core.routing.Target;

/**
 * Sends a request to a target once, without retries or redirects.
 */
public interface TargetDispatcher {

	/**
	 * Sends a request and reads the complete answer; blocks until the outcome is known.
	 * @param target the target to send to
	 * @param request the request with the target's header fields, without the caller's
	 * API key
	 * @param idempotent whether the request may run more than once
	 * @param timeoutMillis the time limit of the whole exchange, in milliseconds
	 * @return the target's answer, or why there is none and whether the request may have
	 * run
	 */
	DispatchOutcome dispatch(Target target, CallerRequest request, boolean idempotent, long timeoutMillis);

}
