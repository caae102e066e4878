package org.plantainspur.core.target;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.time.Clock;

/**
 * Gives most of a target's limit to the hosts that carry the traffic of the target's
 * failure domain, and the rest to those of one other domain, which may have no targets of
 * the service itself. A host knows its fraction without asking the others, so the limit
 * holds over hosts that cannot reach each other, too. Few hosts may send to a target,
 * since each of them may exceed its rate by one request. Thread-safe.
 */
public final class DomainLimitShare implements LimitShare {

	/** The fraction of a limit that the hosts of the target's failure domain share. */
	static final double OWN_DOMAIN_FRACTION = 0.75;

	/**
	 * The time from the assignment of a host until it uses its fraction. Until then the
	 * host that it replaces may still use that fraction, as it is stopping or the other
	 * hosts do not know yet that it has ended.
	 */
	static final long ASSIGNMENT_DELAY_MS = 2_000;

	private final HostLocation location;

	private final List<String> failureDomains;

	private final int trafficHostsPerDomain;

	private final Clock clock;

	private final AtomicReference<Assignment> assignment = new AtomicReference<>(Assignment.NONE);

	/**
	 * Creates a share of a host that is not assigned to carry traffic yet.
	 * @param location the failure domain of this host and the regions of all domains
	 * @param trafficHostsPerDomain the number of hosts of a failure domain that carry
	 * traffic
	 * @param clock the host's clock
	 */
	public DomainLimitShare(HostLocation location, int trafficHostsPerDomain, Clock clock) {
		this.location = location;
		this.trafficHostsPerDomain = trafficHostsPerDomain;
		this.failureDomains = location.regions().keySet().stream().sorted().toList();
		this.clock = clock;
	}

	/**
	 * Assigns this host its part of its failure domain's fraction. It has none if it
	 * hears less than half of the other hosts: it cannot tell whether they have ended or
	 * are cut off from it and use the fraction.
	 * @param carriesTraffic whether this host carries traffic
	 * @param liveHosts the names of the failure domain's hosts that this host hears, its
	 * own included
	 * @param knownHosts the names of those that it has heard recently, its own included
	 */
	public void assign(boolean carriesTraffic, Collection<String> liveHosts, Collection<String> knownHosts) {
		boolean assigned = carriesTraffic && isMajority(liveHosts, knownHosts);
		if (assigned != this.assignment.get().assigned()) {
			this.assignment.set(new Assignment(assigned, this.clock.millis()));
		}
	}

	// Of two halves, the one with the first host by name counts as the majority.
	private static boolean isMajority(Collection<String> liveHosts, Collection<String> knownHosts) {
		int excess = 2 * liveHosts.size() - knownHosts.size();
		return excess > 0 || (excess == 0 && liveHosts.contains(Collections.min(knownHosts)));
	}

	@Override
	public double of(TargetListing target) {
		Assignment current = this.assignment.get();
		if (!current.assigned() || this.clock.millis() - current.sinceMs() < ASSIGNMENT_DELAY_MS) {
			return 0;
		}
		return domainFraction(target) / this.trafficHostsPerDomain;
	}

	@Override
	public long heldSinceMs() {
		return this.assignment.get().sinceMs() + ASSIGNMENT_DELAY_MS;
	}

	private double domainFraction(TargetListing target) {
		String ownDomain = this.location.failureDomain();
		if (this.failureDomains.stream().allMatch(ownDomain::equals)) {
			return 1;
		}
		if (ownDomain.equals(target.failureDomain())) {
			return OWN_DOMAIN_FRACTION;
		}
		return ownDomain.equals(borrowingDomain(target)) ? 1 - OWN_DOMAIN_FRACTION : 0;
	}

	// Rendezvous hashing: all hosts choose the same domain, and the targets of a domain
	// are spread over all others.
	private String borrowingDomain(TargetListing target) {
		return this.failureDomains.stream()
			.filter((domain) -> !domain.equals(target.failureDomain()))
			.max(Comparator.comparingInt((domain) -> mix(31 * domain.hashCode() + target.id().hashCode())))
			.orElse("");
	}

	// Names that differ in one character have hash codes that differ little.
	private static int mix(int hash) {
		int mixed = (hash ^ (hash >>> 16)) * 0x85ebca6b;
		return mixed ^ (mixed >>> 13);
	}

	/**
	 * Whether this host has a part of its failure domain's fraction.
	 *
	 * @param assigned whether it has one
	 * @param sinceMs since when, in the clock's milliseconds
	 */
	private record Assignment(boolean assigned, long sinceMs) {

		static final Assignment NONE = new Assignment(false, 0);

	}

}
