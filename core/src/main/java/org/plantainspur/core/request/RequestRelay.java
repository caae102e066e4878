package org.plantainspur.core.request;

/**
 * Forwards a non-idempotent request to the only process that may dispatch it, the one
 * that issued its dispatch token.
 */
@FunctionalInterface
public interface RequestRelay {

	/**
	 * Forwards a request and waits for its answer.
	 * @param hostId the id of the host on which the process runs
	 * @param processId the id of the process
	 * @param request the request with all the header fields that the caller sent
	 * @param deadlineMillis the deadline, in milliseconds on the process clock
	 * @return the answer of that process, or a refusal with {@link Problem.Run#UNKNOWN}
	 * if there is none
	 */
	CallerAnswer relay(String hostId, String processId, CallerRequest request, long deadlineMillis);

}
