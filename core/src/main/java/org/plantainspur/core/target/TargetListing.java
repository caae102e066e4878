package org.plantainspur.core.target;

/**
 * A target as listed by the platform.
 *
 * @param id the identity of the target's process; a restart gets a new one
 * @param service the name of the service that it belongs to
 * @param host the IP address that it listens on
 * @param port the port that it listens on
 * @param failureDomain the name of the failure domain that it runs in
 * @param slots the number of requests that it runs concurrently, at least 1
 * @param leaving whether it must get no new requests
 * @param warmUpMs how much longer it is slow because it has just started, as of the
 * listing, in milliseconds; 0 once it has warmed up
 */
public record TargetListing(String id, String service, String host, int port, String failureDomain, int slots,
		boolean leaving, long warmUpMs) {
}
