package org.plantainspur.core.request;

/**
 * A request from a caller with its complete body.
 *
 * @param method the HTTP method
 * @param path the raw path, starting with {@code /}
 * @param query the raw query without {@code ?}, empty if there is none
 * @param headers the header fields in the caller's order
 * @param body the body, empty if there is none
 * @param keyHash the {@link KeyHash} of the request's API key, empty if it has none; the
 * key itself doesn't leave the adapter that received the request
 * @param receivedMillis when the request arrived, in milliseconds on the process clock
 */
public record CallerRequest(String method, String path, String query, Headers headers, byte[] body, String keyHash,
		long receivedMillis) {
}
