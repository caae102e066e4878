package org.plantainspur.core.routing;

/**
 * One back end of a service, as the platform lists it.
 *
 * @param id the target's id
 * @param service the service that it serves
 * @param address {@code ip:port}
 * @param region the name of its region
 * @param failureDomain the name of its failure domain
 * @param slots the number of requests that it runs at a time
 * @param connections the number of connections that it accepts from all hosts together
 * @param leaving whether the platform lists it as leaving, so that it takes no new
 * requests
 */
public record Target(String id, String service, String address, String region, String failureDomain, int slots,
		int connections, boolean leaving) {
}
