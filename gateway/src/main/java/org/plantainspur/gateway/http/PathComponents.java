package org.plantainspur.gateway.http;

import org.plantainspur.core.reach.DirectPaths;
import org.plantainspur.core.reach.RelayAdmission;
import org.plantainspur.core.reach.RelayHosts;
import org.plantainspur.core.reach.RelayKey;

/**
 * What is known of the paths to targets, and what relaying needs.
 *
 * @param directPaths this host's own paths
 * @param relayHosts the hosts that may relay attempts of this host
 * @param relayAdmission decides which attempts of other hosts this host relays
 * @param relayKey the key with which other hosts prove their requests to this one
 * @param relayProof creates and checks these proofs
 */
public record PathComponents(DirectPaths directPaths, RelayHosts relayHosts, RelayAdmission relayAdmission,
		RelayKey relayKey, RelayProof relayProof) {
}
