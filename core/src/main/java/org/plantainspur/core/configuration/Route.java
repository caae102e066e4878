package org.plantainspur.core.configuration;

/**
 * Maps requests to a service. For example a route with prefix {@code /booking} and method
 * {@code POST}, served by {@code booking}, not idempotent, not open.
 *
 * @param id the route's name
 * @param method the HTTP method, or {@code *} for every method
 * @param pathPrefix the prefix of the path; the longest matching prefix wins
 * @param service the service whose targets run the request
 * @param idempotent whether a request may run more than once
 * @param open whether the route needs no key
 * @param timeoutMillis the longest time for one request, in milliseconds
 */
public record Route(String id, String method, String pathPrefix, String service, boolean idempotent, boolean open,
		long timeoutMillis) {
}
