package org.plantainspur.core.request;

/**
 * Serves one request from a caller; blocks until its answer is known.
 */
@FunctionalInterface
public interface RequestPipeline {

	/**
	 * Serves a request.
	 * @param request the request
	 * @return the whole answer, or a refusal
	 */
	CallerAnswer serve(CallerRequest request);

}
