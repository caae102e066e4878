package org.plantainspur.core.reach;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.target.HostLocation;
import org.plantainspur.core.time.Clock;

/**
 * The hosts that may relay attempts of this host, with what they tell of their own paths
 * and what relayed attempts have shown. The nearest host that is known to reach targets
 * is preferred; a target always gets the same one of a few, so that few connections are
 * opened and the load is spread. Thread-safe.
 */
public final class RelayHosts {

	/** The hosts at one distance that share the relayed attempts of this host. */
	static final int HOSTS_IN_USE = 3;

	/** How long a host that could not be connected to is avoided. */
	static final long UNAVAILABLE_MS = 1_000;

	/** How long a request waits at most for hosts that are being looked up. */
	static final long LOOK_UP_MS = 500;

	/** Cost of a host that is not known to reach targets, in steps of distance. */
	private static final double UNKNOWN_RANK = 1.5;

	/** Advantage of a host that is known to reach the target, in steps of distance. */
	private static final double REACHING_RANK = 0.5;

	/**
	 * Cost of a host of a failure domain with another host that does not reach the
	 * target, in steps of distance. Larger than all other costs, so that hosts of each
	 * other domain are asked before a second one of this domain.
	 */
	private static final double UNREACHING_DOMAIN_RANK = 10;

	private final HostLocation location;

	private final String ownName;

	private final Clock clock;

	private final AtomicReference<List<Candidate>> candidates = new AtomicReference<>(List.of());

	private final ConcurrentMap<String, HostBelief> beliefs = new ConcurrentHashMap<>();

	/** The beliefs that have named targets, mostly of few hosts. */
	private final ConcurrentMap<String, HostBelief> beliefsOfTargets = new ConcurrentHashMap<>();

	/** Whether hosts of the failure domain have not been looked up yet. */
	private volatile boolean incomplete;

	private volatile long lookUpUntilMs = PathState.NEVER;

	/**
	 * Creates a set without hosts.
	 * @param ownName the name of this host
	 * @param location the failure domain of this host and the regions of all domains
	 * @param clock the host's clock
	 */
	public RelayHosts(String ownName, HostLocation location, Clock clock) {
		this.ownName = ownName;
		this.location = location;
		this.clock = clock;
	}

	/**
	 * Replaces the hosts.
	 * @param hosts the hosts that may relay, without this one
	 */
	public void replace(Collection<RelayHost> hosts) {
		// Each host has another order, so that hosts which are cut off together use
		// different ones.
		List<Candidate> sorted = hosts.stream()
			.map((host) -> new Candidate(host, distance(host), belief(host.name())))
			.sorted(Comparator.comparingInt(Candidate::distance)
				.thenComparingInt((candidate) -> mixedHash(this.ownName, candidate.host().name())))
			.toList();
		this.candidates.set(sorted);
	}

	/**
	 * Sets whether hosts of the failure domain have not been looked up yet. They are
	 * looked up when a path closes.
	 * @param hostsMissing {@code false} once all of them have been
	 */
	public void setIncomplete(boolean hostsMissing) {
		this.incomplete = hostsMissing;
	}

	/** Called when a path has closed, which starts a look-up of missing hosts. */
	public void pathClosed() {
		long nowMs = this.clock.millis();
		if (this.incomplete && nowMs >= this.lookUpUntilMs) {
			this.lookUpUntilMs = nowMs + LOOK_UP_MS;
		}
	}

	/**
	 * Returns whether a request that finds no path should wait, as further hosts may be
	 * known in a moment.
	 * @return {@code false} if the request can be refused at once
	 */
	public boolean isLookUpPending() {
		return this.incomplete && this.clock.millis() < this.lookUpUntilMs;
	}

	/**
	 * Forgets hosts that are gone, and what was known of targets long ago.
	 * @param names the names of the hosts that are known to the fleet
	 */
	public void removeOld(Set<String> names) {
		long nowMs = this.clock.millis();
		Set<String> kept = new HashSet<>(names);
		this.candidates.get().forEach((candidate) -> kept.add(candidate.host().name()));
		this.beliefs.keySet().retainAll(kept);
		this.beliefs.values().forEach((belief) -> belief.removeOld(nowMs));
		this.beliefsOfTargets.keySet().retainAll(kept);
	}

	private int distance(RelayHost host) {
		return this.location.distanceTo(host.failureDomain()).ordinal();
	}

	private static int mixedHash(String first, String second) {
		int hash = 31 * first.hashCode() + second.hashCode();
		hash = (hash ^ (hash >>> 16)) * 0x85ebca6b;
		return hash ^ (hash >>> 13);
	}

	/**
	 * Records what a host tells of its paths.
	 * @param host the host's name
	 * @param reach its paths
	 */
	public void receive(String host, HostReach reach) {
		if (reach.equals(HostReach.NONE) && !this.beliefs.containsKey(host)) {
			return;
		}
		long nowMs = this.clock.millis();
		HostBelief belief = belief(host);
		belief.receive(reach, nowMs);
		if (belief.namesTargets()) {
			this.beliefsOfTargets.put(host, belief);
		}
	}

	/**
	 * Returns the targets that other hosts do not reach.
	 * @return identities of targets
	 */
	public Set<String> unreachedTargets() {
		long nowMs = this.clock.millis();
		Set<String> targets = new HashSet<>();
		this.beliefsOfTargets.values().forEach((belief) -> belief.addUnreached(targets, nowMs));
		return targets;
	}

	/**
	 * Returns whether another host is known to be cut off.
	 * @return {@code true} if one has said so recently
	 */
	public boolean isAnyCutOff() {
		long nowMs = this.clock.millis();
		return this.beliefs.values().stream().anyMatch((belief) -> belief.isCutOff(nowMs));
	}

	/**
	 * Returns whether a host is known to reach targets.
	 * @param distance the distance of the host
	 * @return {@code true} if attempts can be relayed at this distance
	 */
	public boolean isAnyConnected(HostLocation.Distance distance) {
		long nowMs = this.clock.millis();
		return this.candidates.get()
			.stream()
			.filter((candidate) -> candidate.distance() == distance.ordinal())
			.anyMatch((candidate) -> candidate.belief().isUsable(nowMs) && candidate.belief().isProven(nowMs));
	}

	/**
	 * Returns the first few hosts at a distance that are not known to be cut off, to be
	 * asked whether they reach targets.
	 * @param distance the distance of the hosts
	 * @return hosts in order of preference
	 */
	public List<RelayHost> candidates(HostLocation.Distance distance) {
		long nowMs = this.clock.millis();
		return this.candidates.get()
			.stream()
			.filter((candidate) -> candidate.distance() == distance.ordinal() && candidate.belief().isUsable(nowMs))
			.limit(HOSTS_IN_USE)
			.map(Candidate::host)
			.toList();
	}

	/**
	 * Returns what all hosts tell of a target.
	 * @param targetId the target's identity
	 * @return the evidence as of now
	 */
	Evidence evidence(String targetId) {
		long nowMs = this.clock.millis();
		boolean reached = false;
		int unreached = 0;
		for (HostBelief belief : this.beliefsOfTargets.values()) {
			reached |= belief.reaches(targetId, nowMs);
			unreached += belief.reachesAllBut(targetId, nowMs) ? 1 : 0;
		}
		return new Evidence(targetId, reached, unreached);
	}

	/**
	 * Returns the host that relays an attempt.
	 * @param evidence what all hosts tell of the attempt's target
	 * @return the host, or {@code null} if none is known that may reach the target and
	 * has room
	 */
	@Nullable RelayHost choose(Evidence evidence) {
		long nowMs = this.clock.millis();
		Set<String> unreachingDomains = unreachingDomains(evidence, nowMs);
		RelayHost chosen = null;
		double bestRank = Double.MAX_VALUE;
		int inUse = 0;
		// Of the hosts with the best rank, the first few in the order of this host share
		// the targets.
		for (Candidate candidate : this.candidates.get()) {
			double lowestRank = candidate.distance() - (evidence.reached() ? REACHING_RANK : 0);
			if (bestRank < lowestRank || (bestRank == lowestRank && inUse >= HOSTS_IN_USE)) {
				break;
			}
			if (!candidate.belief().mayReach(evidence.targetId(), nowMs)) {
				continue;
			}
			double rank = candidate.rank(evidence.targetId(), unreachingDomains, nowMs);
			if (rank < bestRank) {
				bestRank = rank;
				inUse = 0;
				chosen = null;
			}
			if (rank == bestRank && inUse++ < HOSTS_IN_USE && (chosen == null || mixedHash(candidate.host().name(),
					evidence.targetId()) < mixedHash(chosen.name(), evidence.targetId()))) {
				chosen = candidate.host();
			}
		}
		return chosen;
	}

	// Returns the failure domains with a host that reaches other targets but not this
	// one.
	private Set<String> unreachingDomains(Evidence evidence, long nowMs) {
		Set<String> domains = new HashSet<>();
		if (evidence.unreached() > 0) {
			for (Candidate candidate : this.candidates.get()) {
				if (candidate.belief().reachesAllBut(evidence.targetId(), nowMs)) {
					domains.add(candidate.host().failureDomain());
				}
			}
		}
		return domains;
	}

	/**
	 * Returns whether each failure domain that could be asked has a host that reaches
	 * other targets but not this one. The paths of a whole domain may be closed together,
	 * so its hosts alone do not show that a target is down.
	 * @param evidence what all hosts tell of the target
	 * @return {@code true} if no host of a further domain is left to be asked
	 */
	boolean isUnreachedFromAllDomains(Evidence evidence) {
		long nowMs = this.clock.millis();
		Set<String> unreachingDomains = unreachingDomains(evidence, nowMs);
		return this.candidates.get()
			.stream()
			.filter((candidate) -> candidate.belief().isUsable(nowMs))
			.allMatch((candidate) -> unreachingDomains.contains(candidate.host().failureDomain()));
	}

	/**
	 * Records that an attempt is being sent over a host. Each call is followed by
	 * {@link #recordEnd}.
	 * @param host the host
	 */
	public void recordSent(RelayHost host) {
		belief(host.name()).recordSent();
	}

	/**
	 * Records that a relayed attempt has ended.
	 * @param host the host
	 */
	public void recordEnd(RelayHost host) {
		belief(host.name()).recordEnd();
	}

	/**
	 * Records that a target has answered over a host.
	 * @param host the host
	 * @param targetId the target's identity
	 */
	public void recordReached(RelayHost host, String targetId) {
		HostBelief belief = belief(host.name());
		belief.recordReached(targetId, this.clock.millis());
		this.beliefsOfTargets.put(host.name(), belief);
	}

	/**
	 * Records that a host did not reach a target.
	 * @param host the host
	 * @param targetId the target's identity
	 * @param reachesOthers whether the host reaches other targets
	 */
	public void recordUnreached(RelayHost host, String targetId, boolean reachesOthers) {
		HostBelief belief = belief(host.name());
		belief.recordUnreached(targetId, reachesOthers, this.clock.millis());
		this.beliefsOfTargets.put(host.name(), belief);
	}

	/**
	 * Records that a host is cut off itself.
	 * @param host the host
	 */
	public void recordCutOff(RelayHost host) {
		belief(host.name()).recordCutOff(this.clock.millis());
	}

	/**
	 * Records that a host could not be connected to, or takes no attempts now.
	 * @param host the host
	 */
	public void recordUnavailable(RelayHost host) {
		belief(host.name()).avoid(this.clock.millis() + UNAVAILABLE_MS);
	}

	/**
	 * Records that a host has no room.
	 * @param host the host
	 * @param retryAfterMs when it expects to have room, in milliseconds from now
	 */
	public void recordBusy(RelayHost host, long retryAfterMs) {
		belief(host.name()).recordBusy(this.clock.millis() + retryAfterMs);
	}

	/**
	 * Returns when the caller of a request should come back that found no host with room.
	 * @return the delay in milliseconds, 0 if no host lacks only room
	 */
	public long retryAfterMs() {
		long nowMs = this.clock.millis();
		return this.candidates.get()
			.stream()
			.map(Candidate::belief)
			.filter((belief) -> belief.isUsable(nowMs) && !belief.hasRoom(nowMs))
			.mapToLong((belief) -> Math.max(belief.busyForMs(nowMs), RelayAdmission.RETRY_AFTER_MS))
			.min()
			.orElse(0);
	}

	private HostBelief belief(String host) {
		return this.beliefs.computeIfAbsent(host, (name) -> new HostBelief());
	}

	/**
	 * What all hosts tell of a target.
	 *
	 * @param targetId the target's identity
	 * @param reached whether it has answered over another host recently, or another host
	 * tells that it is served, so that it is healthy behind a closed path
	 * @param unreached how many hosts that reach other targets do not reach it
	 */
	record Evidence(String targetId, boolean reached, int unreached) {
	}

	/**
	 * A host that may relay.
	 *
	 * @param host the host
	 * @param distance its distance, in steps
	 * @param belief what is known of it
	 */
	private record Candidate(RelayHost host, int distance, HostBelief belief) {

		// The rank of a host is its distance, with a cost for what is not known of it.
		// One that reaches the target itself goes before all others at its distance.
		private double rank(String targetId, Set<String> unreachingDomains, long nowMs) {
			if (this.belief.reaches(targetId, nowMs)) {
				return this.distance - REACHING_RANK;
			}
			return this.distance + (this.belief.isProven(nowMs) ? 0 : UNKNOWN_RANK)
					+ (unreachingDomains.contains(this.host.failureDomain()) ? UNREACHING_DOMAIN_RANK : 0);
		}

	}

}
