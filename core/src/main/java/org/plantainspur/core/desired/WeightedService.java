package org.plantainspur.core.desired;

/**
 * A service of a route with its weight in the distribution of the route's requests.
 *
 * @param service the service's name
 * @param weight the weight relative to the other weights of the route; at least 0
 */
public record WeightedService(String service, double weight) {
}
