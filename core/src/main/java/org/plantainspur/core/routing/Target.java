package org.plantainspur.core.routing;

/**
 * A target endpoint.
 *
 * @param id the target's name
 * @param service the service that it serves
 * @param address {@code ip:port}
 * @param region the region
 * @param failureDomain the failure domain
 * @param slots requests that it runs at a time
 * @param connections connections that it accepts from all hosts together
 * @param leaving whether the platform's list says that it is leaving
 */
public record Target(String id, String service, String address, String region, String failureDomain, int slots,
		int connections, boolean leaving) {
}
