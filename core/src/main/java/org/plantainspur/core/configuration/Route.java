package org.plantainspur.core.configuration;

/**
 * Maps requests to a service, for example those with the method {@code POST} and the path
 * prefix {@code /booking} to the service {@code booking}.
 *
 * @param id the route's name
 * @param method the HTTP method, or {@code *} for every method
 * @param pathPrefix the prefix of the path; the longest matching prefix wins
 * @param service the service whose targets run the request
 * @param idempotent whether a request may safely be executed more than once
 * @param open whether the route needs no key
 * @param timeoutMillis the maximum duration of one request, in milliseconds
 */
public record Route(String id, String method, String pathPrefix, String service, boolean idempotent, boolean open,
		long timeoutMillis) {
}
