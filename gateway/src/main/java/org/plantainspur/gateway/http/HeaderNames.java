package org.plantainspur.gateway.http;

/**
 * The names of the HTTP headers that the deployment uses, by what the headers hold.
 *
 * @param requestId identifies a request of a caller; targets repeat it in their responses
 * @param deadlineMs how long the sender waits for the response, in milliseconds
 * @param signature proves that a response was made by a target
 * @param account the client account, set by the host in place of the caller's API key
 * @param expectedTarget the identity of the only target that may run the request
 * @param load a target's running requests, waiting requests and slots, three numbers
 * separated by commas
 * @param limit the requests a second that a target takes from all hosts together, a
 * decimal number
 * @param leaving a target's statement that it is leaving
 * @param notRun a target's statement that it did not run the request
 * @param keyScheme the authentication scheme before a key in the Authorization header
 */
public record HeaderNames(String requestId, String deadlineMs, String signature, String account, String expectedTarget,
		String load, String limit, String leaving, String notRun, String keyScheme) {
}
