package org.plantainspur.core.request;

/**
 * Serves requests from callers, from their arrival to the answer.
 */
@FunctionalInterface
public interface RequestPipeline {

	/**
	 * Serves one request; blocks until its answer is known.
	 * @param request the request as the caller sent it
	 * @return the complete answer of a target, or a refusal
	 */
	CallerAnswer serve(CallerRequest request);

}
