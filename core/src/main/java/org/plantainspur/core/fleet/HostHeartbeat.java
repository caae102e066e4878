package org.plantainspur.core.fleet;

import java.util.List;
import java.util.Map;

import org.plantainspur.core.health.RequestCrash;
import org.plantainspur.core.reach.HostReach;
import org.plantainspur.core.store.TableStates;
import org.plantainspur.core.target.TargetStatementReport;

/**
 * The state that a host sends to the other hosts of its failure domain about every 500
 * ms, and sooner if there is something urgent to report. Other failure domains get a copy
 * with a digest, see {@link #forOtherDomain}.
 *
 * @param host the host's name
 * @param startMs when its process started, in Unix milliseconds; a later process replaces
 * an earlier one of the same host
 * @param failureDomain the name of its failure domain
 * @param callerAddress where callers connect, {@code ip:port}
 * @param peerAddress where it receives heartbeats, {@code ip:port}
 * @param cores the number of processor cores that it may use
 * @param acceptingCallers whether it accepts new callers
 * @param version the version of the desired state in force on it
 * @param tables the states of its replicas of the store's tables;
 * {@link TableStates#NONE} if no rows can be fetched from it
 * @param storeAgeMs the time since the store last answered it, in milliseconds
 * @param usage the requests that it admitted, by the account's name
 * @param accountsNearLimit names of the accounts that came near their limit on it since
 * the last heartbeat
 * @param failedTargets identities of the targets that failed since the last heartbeat
 * @param recoveredTargets identities of suspect targets that succeeded since then
 * @param digests the digests of whole failure domains
 * @param requestCrashes the crashes of targets that requests have caused
 * @param targetStatements what targets say of themselves, as far as this host knows
 * @param reach which targets the host reaches, {@link HostReach#NONE} while no host is
 * cut off
 */
public record HostHeartbeat(String host, long startMs, String failureDomain, String callerAddress, String peerAddress,
		double cores, boolean acceptingCallers, long version, TableStates tables, long storeAgeMs,
		Map<String, AccountUsage> usage, List<String> accountsNearLimit, List<String> failedTargets,
		List<String> recoveredTargets, List<DomainDigest> digests, List<RequestCrash> requestCrashes,
		List<TargetStatementReport> targetStatements, HostReach reach) {

	public HostHeartbeat {
		usage = Map.copyOf(usage);
		accountsNearLimit = List.copyOf(accountsNearLimit);
		failedTargets = List.copyOf(failedTargets);
		recoveredTargets = List.copyOf(recoveredTargets);
		digests = List.copyOf(digests);
		requestCrashes = List.copyOf(requestCrashes);
		targetStatements = List.copyOf(targetStatements);
	}

	/**
	 * Creates a heartbeat that tells nothing of the host's paths to targets.
	 */
	public HostHeartbeat(String host, long startMs, String failureDomain, String callerAddress, String peerAddress,
			double cores, boolean acceptingCallers, long version, TableStates tables, long storeAgeMs,
			Map<String, AccountUsage> usage, List<String> accountsNearLimit, List<String> failedTargets,
			List<String> recoveredTargets, List<DomainDigest> digests, List<RequestCrash> requestCrashes,
			List<TargetStatementReport> targetStatements) {
		this(host, startMs, failureDomain, callerAddress, peerAddress, cores, acceptingCallers, version, tables,
				storeAgeMs, usage, accountsNearLimit, failedTargets, recoveredTargets, digests, requestCrashes,
				targetStatements, HostReach.NONE);
	}

	/**
	 * Returns this heartbeat with what the host tells of its paths to targets.
	 * @param newReach the paths
	 * @return a changed copy
	 */
	public HostHeartbeat withReach(HostReach newReach) {
		return new HostHeartbeat(this.host, this.startMs, this.failureDomain, this.callerAddress, this.peerAddress,
				this.cores, this.acceptingCallers, this.version, this.tables, this.storeAgeMs, this.usage,
				this.accountsNearLimit, this.failedTargets, this.recoveredTargets, this.digests, this.requestCrashes,
				this.targetStatements, newReach);
	}

	/**
	 * Returns a heartbeat of the same host that tells only of its paths to targets.
	 * @param newReach the paths
	 * @return a changed copy
	 */
	public HostHeartbeat onlyReach(HostReach newReach) {
		return new HostHeartbeat(this.host, this.startMs, this.failureDomain, this.callerAddress, this.peerAddress,
				this.cores, this.acceptingCallers, this.version, TableStates.NONE, this.storeAgeMs, Map.of(), List.of(),
				List.of(), List.of(), List.of(), List.of(), List.of(), newReach);
	}

	/**
	 * Returns this heartbeat with other digests.
	 * @param newDigests the digests of the copy
	 * @return a changed copy
	 */
	public HostHeartbeat withDigests(List<DomainDigest> newDigests) {
		return new HostHeartbeat(this.host, this.startMs, this.failureDomain, this.callerAddress, this.peerAddress,
				this.cores, this.acceptingCallers, this.version, this.tables, this.storeAgeMs, this.usage,
				this.accountsNearLimit, this.failedTargets, this.recoveredTargets, newDigests, this.requestCrashes,
				this.targetStatements, this.reach);
	}

	/**
	 * Returns this heartbeat as sent to another failure domain, without the details for
	 * hosts of its own domain.
	 * @param digest the digest of this failure domain
	 * @param crashes the crashes of requests that the other domain must know of
	 * @param statements the statements of targets that it must know of
	 * @return a changed copy
	 */
	public HostHeartbeat forOtherDomain(DomainDigest digest, List<RequestCrash> crashes,
			List<TargetStatementReport> statements) {
		return new HostHeartbeat(this.host, this.startMs, this.failureDomain, this.callerAddress, this.peerAddress,
				this.cores, this.acceptingCallers, this.version, TableStates.NONE, this.storeAgeMs, Map.of(), List.of(),
				List.of(), List.of(), List.of(digest), crashes, statements);
	}

	/**
	 * Returns this heartbeat with {@link #acceptingCallers} set. Used by a host that has
	 * just started and does not know yet whether the others accept callers.
	 * @return a changed copy
	 */
	public HostHeartbeat presumedAccepting() {
		return new HostHeartbeat(this.host, this.startMs, this.failureDomain, this.callerAddress, this.peerAddress,
				this.cores, true, this.version, this.tables, this.storeAgeMs, this.usage, this.accountsNearLimit,
				this.failedTargets, this.recoveredTargets, this.digests, this.requestCrashes, this.targetStatements,
				this.reach);
	}

}
