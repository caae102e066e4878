package org.plantainspur.core.request;

/**
 * A whole request from a caller.
 *
 * @param method the HTTP method
 * @param path the raw path, starting with {@code /}
 * @param query the raw query without {@code ?}, empty if there is none
 * @param headers the header fields
 * @param body the body, empty if there is none
 * @param keyHash the {@link KeyHash} of the key that the request carried, empty if it
 * carried none; the key itself stays in the adapter that received the request
 * @param receivedMillis the instant, on the process clock, at which the request arrived
 */
public record CallerRequest(String method, String path, String query, Headers headers, byte[] body, String keyHash,
		long receivedMillis) {
}
