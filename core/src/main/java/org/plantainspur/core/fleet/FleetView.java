package org.plantainspur.core.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import org.plantainspur.core.time.Clock;

/**
 * What this host knows of the fleet: who takes callers, who speaks for a failure domain,
 * and its own share of each account. Messages of a host do not grow with the fleet: beats
 * stay within the failure domain, and one host sends its domain's sums to the others.
 */
public final class FleetView {

	/** A domain's sums are used for this long after they stop coming. */
	static final long DIGEST_VALID_MS = 60_000;

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
	 */
	public void heard(HostBeat beat) {
		this.neighbours.heard(beat);
		for (DomainDemand digest : beat.digests()) {
			this.digests.merge(digest.failureDomain(), new Received(digest, this.clock.millis()),
					(before, latest) -> (before.digest().stampMs() >= latest.digest().stampMs()) ? before : latest);
		}
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
	 * Returns whether this host sends its failure domain's sums to the others: the first
	 * by name of those alive.
	 * @param domain the hosts of the failure domain, as from {@link #domain}
	 * @param own this host's own beat
	 * @return whether it speaks
	 */
	public boolean speaks(List<HostBeat> domain, HostBeat own) {
		return domain.get(0).host().equals(own.host());
	}

	/**
	 * Sums up a failure domain.
	 * @param domain its hosts, as from {@link #domain}
	 * @param failureDomain its name
	 * @param nowUnixMs the time of day
	 * @return the sums
	 */
	public DomainDemand sum(List<HostBeat> domain, String failureDomain, long nowUnixMs) {
		Map<String, Double> demand = new TreeMap<>();
		int taking = 0;
		for (HostBeat beat : domain) {
			beat.demand().forEach((account, rate) -> demand.merge(account, rate, Double::sum));
			taking += beat.taking() ? 1 : 0;
		}
		return new DomainDemand(failureDomain, nowUnixMs, taking, demand);
	}

	/**
	 * Returns the sums of the other failure domains that are still used.
	 * @param own the failure domain to leave out
	 * @return the sums
	 */
	public List<DomainDemand> others(String own) {
		long now = this.clock.millis();
		return this.digests.values()
			.stream()
			.filter((received) -> now - received.atMs() < DIGEST_VALID_MS)
			.map(Received::digest)
			.filter((digest) -> !digest.failureDomain().equals(own))
			.toList();
	}

	/**
	 * Returns this host's share of each account that sends.
	 * @param own this host's own beat
	 * @return the shares
	 */
	public Shares shares(HostBeat own) {
		List<HostBeat> domain = domain(own);
		DomainDemand here = sum(domain, own.failureDomain(), 0);
		Map<String, Double> total = new HashMap<>(here.demand());
		int hosts = Math.max(1, here.hosts());
		for (DomainDemand digest : others(own.failureDomain())) {
			digest.demand().forEach((account, rate) -> total.merge(account, rate, Double::sum));
			hosts += digest.hosts();
		}
		double equal = 1.0 / hosts;
		Map<String, Double> shares = new HashMap<>();
		total.forEach((account, sum) -> {
			double mine = own.demand().getOrDefault(account, 0.0);
			// A little is kept for callers that come to a host for the first time.
			shares.put(account, (sum > 0) ? 0.9 * mine / sum + 0.1 * equal : equal);
		});
		return new Shares(shares, equal);
	}

	/**
	 * This host's shares.
	 *
	 * @param byAccount the share of each account that sends, from 0 to 1
	 * @param unknown the share of any other account
	 */
	public record Shares(Map<String, Double> byAccount, double unknown) {
	}

	private record Received(DomainDemand digest, long atMs) {
	}

}
