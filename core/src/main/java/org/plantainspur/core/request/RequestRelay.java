package org.plantainspur.core.request;

/**
 * Passes a non-idempotent request to the one process that may dispatch it.
 */
@FunctionalInterface
public interface RequestRelay {

	/**
	 * Passes a request on and waits for its answer.
	 * @param hostId the host of the process
	 * @param processId the process
	 * @param request the request with all its headers
	 * @param deadlineMillis the instant, on the process clock, after which no answer is
	 * wanted
	 * @return the answer; a refusal with {@link Problem.Run#UNKNOWN} if the process
	 * cannot be reached
	 */
	CallerAnswer relay(String hostId, String processId, CallerRequest request, long deadlineMillis);

}
