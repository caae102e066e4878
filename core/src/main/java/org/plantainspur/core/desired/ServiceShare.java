package org.plantainspur.core.desired;

/**
 * One service of a route and its part of the route's requests.
 *
 * @param service the service's name
 * @param weight the part, relative to the other weights of the route; at least 0
 */
public record ServiceShare(String service, double weight) {
}
