package org.plantainspur.core.target;

/**
 * A target as the platform lists it.
 *
 * @param id the identity of this start of the target
 * @param service the service that it belongs to
 * @param host the IP number that it listens on
 * @param port the port that it listens on
 * @param failureDomain the failure domain that it runs in
 * @param slots the requests that it works on at once, at least 1
 * @param leaving whether it asks for no new work
 * @param coldMs how much longer it is slow after its start, as of the listing, in
 * milliseconds
 */
public record TargetEntry(String id, String service, String host, int port, String failureDomain, int slots,
		boolean leaving, long coldMs) {
}
