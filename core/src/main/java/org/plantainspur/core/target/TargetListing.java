package org.plantainspur.core.target;

/**
 * A target as listed by the platform.
 *
 * @param id the identity under which the platform lists the target; a restart mostly gets
 * a new one
 * @param service the name of the service that it belongs to
 * @param host the IP address that it listens on
 * @param port the port that it listens on
 * @param failureDomain the name of the failure domain that it runs in
 * @param slots the number of requests that it runs concurrently, at least 1
 * @param leaving whether it must get no new requests
 * @param warmUpMs how much longer it is slow because it has just started, as of the
 * listing, in milliseconds; 0 once it has warmed up
 * @param startedMs when the target's process started, in Unix milliseconds; 0 if the
 * platform does not tell
 */
public record TargetListing(String id, String service, String host, int port, String failureDomain, int slots,
		boolean leaving, long warmUpMs, long startedMs) {

	/**
	 * Returns what identifies the target's process.
	 * @return equal for two listings of the same process, and different after a restart
	 * or a change of the address
	 */
	public TargetProcess process() {
		return new TargetProcess(this.id, this.service, this.host, this.port, this.startedMs);
	}

	/**
	 * Returns the incarnation of the target.
	 * @return equal for two listings between which the target has not started again
	 */
	public TargetIncarnation incarnation() {
		return new TargetIncarnation(this.id, this.startedMs);
	}

}
