package org.plantainspur.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.plantainspur.core.store.TableStates;
import org.plantainspur.core.time.Clock;

/**
 * This host's view of the fleet: the live hosts of its failure domain and the usage of
 * the other domains. The traffic of a host does not grow with the fleet: heartbeats stay
 * within the failure domain, and one representative sends the domain's totals to one host
 * of each other domain, which relays them.
 */
public final class FleetView {

	/** How long the last digest of a silent failure domain stays valid. */
	static final long DIGEST_VALID_MS = 30_000;

	/**
	 * The number of hosts of another failure domain that get a digest while none of them
	 * is known to be alive. Two, so that the totals arrive even if one host has just
	 * ended.
	 */
	public static final int RECIPIENTS_PER_DOMAIN = 2;

	private final LiveHosts liveHosts;

	private final Clock clock;

	private final Map<String, Received> digests = new ConcurrentHashMap<>();

	public FleetView(LiveHosts liveHosts, Clock clock) {
		this.liveHosts = liveHosts;
		this.clock = clock;
	}

	/**
	 * Records a heartbeat of another host.
	 * @param heartbeat the heartbeat as received
	 * @return the digests in it that are newer than the known ones; each may hold only
	 * some of the accounts
	 */
	public List<DomainDigest> receive(HostHeartbeat heartbeat) {
		this.liveHosts.receive(heartbeat);
		List<DomainDigest> newDigests = new ArrayList<>();
		for (DomainDigest digest : heartbeat.digests()) {
			Received previous = this.digests.get(digest.failureDomain());
			if (previous == null || previous.digest().createdMs() < digest.createdMs()) {
				this.digests.put(digest.failureDomain(), new Received(digest, this.clock.millis()));
				newDigests.add(digest);
			}
		}
		return newDigests;
	}

	/**
	 * Returns the live hosts of this host's failure domain in order of their names.
	 * @param own this host's own last heartbeat
	 * @return their last heartbeats, this host's included
	 */
	public List<HostHeartbeat> domainHosts(HostHeartbeat own) {
		List<HostHeartbeat> hosts = new ArrayList<>(this.liveHosts.alive());
		hosts.removeIf((heartbeat) -> !heartbeat.failureDomain().equals(own.failureDomain())
				|| heartbeat.host().equals(own.host()));
		hosts.add(own);
		hosts.sort(Comparator.comparing(HostHeartbeat::host));
		return hosts;
	}

	/**
	 * Returns the time since the last heartbeat of a host.
	 * @param heartbeat any heartbeat of the host
	 * @return the time in milliseconds, {@link Long#MAX_VALUE} if none was received
	 */
	public long silenceMs(HostHeartbeat heartbeat) {
		return this.liveHosts.silenceMs(heartbeat.host());
	}

	/**
	 * Returns how current the tables of the other hosts of the failure domain are.
	 * @param domainHosts the heartbeats of its hosts, as from {@link #domainHosts}
	 * @param own this host's own last heartbeat
	 * @return the read state of each other host that has tables
	 */
	public List<StoreReaderElection.PeerReadState> peerReadStates(List<HostHeartbeat> domainHosts, HostHeartbeat own) {
		return domainHosts.stream()
			.filter((heartbeat) -> !heartbeat.host().equals(own.host()) && !heartbeat.tables().equals(TableStates.NONE))
			.map((heartbeat) -> new StoreReaderElection.PeerReadState(heartbeat,
					heartbeat.storeAgeMs() + this.liveHosts.silenceMs(heartbeat.host())))
			.toList();
	}

	/**
	 * Returns the last digest of each other failure domain whose digest is still valid.
	 * @return a new list with at most one digest for each failure domain
	 */
	public List<DomainDigest> otherDomains() {
		long nowMs = this.clock.millis();
		return this.digests.values()
			.stream()
			.filter((received) -> nowMs - received.receivedMs() < DIGEST_VALID_MS)
			.map(Received::digest)
			.toList();
	}

	private record Received(DomainDigest digest, long receivedMs) {
	}

}
