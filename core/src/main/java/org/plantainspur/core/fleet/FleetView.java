package org.plantainspur.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.plantainspur.core.time.Clock;

/**
 * What this host knows of the fleet: who takes callers, who speaks for a failure domain,
 * and what the other failure domains use. Messages of a host do not grow with the fleet:
 * beats stay within the failure domain, and one host sends its domain's sums to one host
 * of each other domain, which passes them on.
 */
public final class FleetView {

	/** Without news a domain is taken to use what it last used for this long. */
	static final long DIGEST_VALID_MS = 30_000;

	/** Two, so that one that has just ended does not hide a domain's sums. */
	public static final int LISTENERS_PER_DOMAIN = 2;

	private final Neighbours neighbours;

	private final Clock clock;

	private final Map<String, Received> digests = new ConcurrentHashMap<>();

	public FleetView(Neighbours neighbours, Clock clock) {
		this.neighbours = neighbours;
		this.clock = clock;
	}

	/**
	 * Takes a beat of another host.
	 * @param beat the beat
	 * @return the digests in it that are news; each holds only some of the accounts
	 */
	public List<DomainDigest> heard(HostBeat beat) {
		this.neighbours.heard(beat);
		List<DomainDigest> news = new ArrayList<>();
		for (DomainDigest digest : beat.digests()) {
			Received before = this.digests.get(digest.failureDomain());
			if (before == null || before.digest().stampMs() < digest.stampMs()) {
				this.digests.put(digest.failureDomain(), new Received(digest, this.clock.millis()));
				news.add(digest);
			}
		}
		return news;
	}

	/**
	 * Returns the hosts of a failure domain that are alive, in order of their names.
	 * @param own this host's own beat
	 * @return their beats, this host's included
	 */
	public List<HostBeat> domain(HostBeat own) {
		List<HostBeat> hosts = new ArrayList<>(this.neighbours.alive());
		hosts.removeIf((beat) -> !beat.failureDomain().equals(own.failureDomain()) || beat.host().equals(own.host()));
		hosts.add(own);
		hosts.sort(Comparator.comparing(HostBeat::host));
		return hosts;
	}

	/**
	 * Returns the time since a host was last heard.
	 * @param beat a beat of the host
	 * @return the time in milliseconds
	 */
	public long silenceMs(HostBeat beat) {
		return this.neighbours.silenceMs(beat.host());
	}

	/**
	 * Returns what the other hosts of a failure domain have read from the store.
	 * @param domain its hosts, as from {@link #domain}
	 * @param own this host's own beat
	 * @return their readings
	 */
	public List<ReadDuty.Reading> readings(List<HostBeat> domain, HostBeat own) {
		return domain.stream()
			.filter((beat) -> !beat.host().equals(own.host()))
			.map((beat) -> new ReadDuty.Reading(beat, beat.tablesVersion(),
					beat.storeAgeMs() + this.neighbours.silenceMs(beat.host())))
			.toList();
	}

	/**
	 * Returns who counts for the other failure domains that are still heard of.
	 * @return the last digest of each
	 */
	public List<DomainDigest> others() {
		long now = this.clock.millis();
		return this.digests.values()
			.stream()
			.filter((received) -> now - received.atMs() < DIGEST_VALID_MS)
			.map(Received::digest)
			.toList();
	}

	private record Received(DomainDigest digest, long atMs) {
	}

}
