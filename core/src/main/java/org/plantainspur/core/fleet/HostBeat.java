package org.plantainspur.core.fleet;

import java.util.List;
import java.util.Map;

/**
 * What a host tells the others about itself, several times a second.
 *
 * @param host the host's name
 * @param start when its process started, in Unix milliseconds; a later process counts
 * @param failureDomain its failure domain
 * @param callerAddress where callers connect, {@code ip:port}
 * @param peerAddress where it takes beats, {@code ip:port}
 * @param taking whether it takes new callers
 * @param version the version of its desired state
 * @param demand the requests a second of each account that reach it
 * @param failedTargets identities of the targets that failed since the last beat
 * @param digests the demand of whole failure domains, told by the host that speaks for
 * its own
 */
public record HostBeat(String host, long start, String failureDomain, String callerAddress, String peerAddress,
		boolean taking, long version, Map<String, Double> demand, List<String> failedTargets,
		List<DomainDemand> digests) {

	public HostBeat {
		demand = Map.copyOf(demand);
		failedTargets = List.copyOf(failedTargets);
		digests = List.copyOf(digests);
	}

}
