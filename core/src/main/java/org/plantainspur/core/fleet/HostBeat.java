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
 * @param cores the processor cores that it may use
 * @param taking whether it takes new callers
 * @param version the version of its desired state
 * @param tablesVersion the sum of the versions of the newest changes that it has read
 * @param storeAgeMs the time since the store answered it, in milliseconds
 * @param usage what it passed on, by account
 * @param pressed the accounts that pressed on their limits there since the last beat
 * @param failedTargets identities of the targets that failed since the last beat
 * @param soundTargets identities of doubtful targets that answered well since then
 * @param digests the usage of whole failure domains
 */
public record HostBeat(String host, long start, String failureDomain, String callerAddress, String peerAddress,
		double cores, boolean taking, long version, long tablesVersion, long storeAgeMs, Map<String, Usage> usage,
		List<String> pressed, List<String> failedTargets, List<String> soundTargets, List<DomainDigest> digests) {

	public HostBeat {
		usage = Map.copyOf(usage);
		pressed = List.copyOf(pressed);
		failedTargets = List.copyOf(failedTargets);
		soundTargets = List.copyOf(soundTargets);
		digests = List.copyOf(digests);
	}

	/**
	 * Returns the beat with other digests.
	 * @param others the digests
	 * @return a copy
	 */
	public HostBeat withDigests(List<DomainDigest> others) {
		return new HostBeat(this.host, this.start, this.failureDomain, this.callerAddress, this.peerAddress, this.cores,
				this.taking, this.version, this.tablesVersion, this.storeAgeMs, this.usage, this.pressed,
				this.failedTargets, this.soundTargets, others);
	}

	/**
	 * Returns the beat as another failure domain gets it, without what only this one
	 * needs.
	 * @param digest what the hosts of this failure domain tell
	 * @return a copy
	 */
	public HostBeat abroad(DomainDigest digest) {
		return new HostBeat(this.host, this.start, this.failureDomain, this.callerAddress, this.peerAddress, this.cores,
				this.taking, this.version, this.tablesVersion, this.storeAgeMs, Map.of(), List.of(), List.of(),
				List.of(), List.of(digest));
	}

	/**
	 * Returns the beat of a host that is taken to take callers until it is heard.
	 * @return a copy
	 */
	public HostBeat presumedTaking() {
		return new HostBeat(this.host, this.start, this.failureDomain, this.callerAddress, this.peerAddress, this.cores,
				true, this.version, this.tablesVersion, this.storeAgeMs, this.usage, this.pressed, this.failedTargets,
				this.soundTargets, this.digests);
	}

}
