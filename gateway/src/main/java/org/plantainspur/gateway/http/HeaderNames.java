package org.plantainspur.gateway.http;

/**
 * The headers of the deployment, by what they hold.
 *
 * @param requestId identifies a request of a caller; targets repeat it in their answers
 * @param deadlineMs how many milliseconds the sender waits for the answer
 * @param signature proves that an answer is a target's
 * @param account the client account, set by the host
 * @param expectedTarget the identity of the only target that may run the request
 * @param load a target's running and waiting requests and its slots
 * @param notRun a target's statement that it did not run the request
 * @param keyScheme the authentication scheme before a key in the Authorization header
 */
public record HeaderNames(String requestId, String deadlineMs, String signature, String account, String expectedTarget,
		String load, String notRun, String keyScheme) {
}
