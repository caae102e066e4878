package org.plantainspur.core.reach;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
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

	/** The relayed attempts that one host runs for this host at a time. */
	static final int MAX_IN_FLIGHT = 16;

	/** How long a host counts as cut off after it has said so. */
	static final long CUT_OFF_VALID_MS = 2_000;

	/** How long a host that could not be connected to is avoided. */
	static final long UNAVAILABLE_MS = 1_000;

	/** How long a host is avoided that did not reach a target and may be cut off. */
	static final long SUSPECT_MS = 300;

	/** How long a target is not sent over a host that did not reach it. */
	static final long UNREACHED_MS = 2_000;

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

	private final AtomicReference<List<RelayHost>> hosts = new AtomicReference<>(List.of());

	private final ConcurrentMap<String, Belief> beliefs = new ConcurrentHashMap<>();

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
	 * @param candidates the hosts that may relay, without this one
	 */
	public void replace(Collection<RelayHost> candidates) {
		// Each host has another order, so that hosts which are cut off together use
		// different ones.
		List<RelayHost> sorted = candidates.stream()
			.sorted(Comparator.comparingInt(this::distance)
				.thenComparingInt((host) -> mixedHash(this.ownName, host.name())))
			.toList();
		this.hosts.set(sorted);
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
		this.beliefs.keySet().retainAll(names);
		this.beliefs.values().forEach((belief) -> {
			belief.unreached.values().removeIf((untilMs) -> nowMs >= untilMs);
			belief.reached.values().removeIf((reachedMs) -> nowMs - reachedMs >= DirectPaths.PROOF_VALID_MS);
		});
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
		Belief belief = belief(host);
		belief.cutOffUntilMs = (reach.state() == HostReach.State.CUT_OFF) ? nowMs + CUT_OFF_VALID_MS : PathState.NEVER;
		if (reach.state() == HostReach.State.CONNECTED) {
			belief.provenMs = nowMs;
		}
		else if (!reach.equals(HostReach.NONE)) {
			belief.provenMs = PathState.NEVER;
		}
		reach.reachedTargets().forEach((target) -> belief.reportReached(target, nowMs));
		reach.closedTargets().forEach((target) -> belief.recordUnreached(target, nowMs));
	}

	/**
	 * Returns the targets that other hosts do not reach.
	 * @return identities of targets
	 */
	public Set<String> unreachedTargets() {
		long nowMs = this.clock.millis();
		Set<String> targets = new HashSet<>();
		this.beliefs.values().forEach((belief) -> belief.unreached.forEach((target, untilMs) -> {
			if (nowMs < untilMs) {
				targets.add(target);
			}
		}));
		return targets;
	}

	/**
	 * Returns whether another host is known to be cut off.
	 * @return {@code true} if one has said so recently
	 */
	public boolean isAnyCutOff() {
		long nowMs = this.clock.millis();
		return this.beliefs.values().stream().anyMatch((belief) -> nowMs < belief.cutOffUntilMs);
	}

	/**
	 * Returns whether a host is known to reach targets.
	 * @param distance the distance of the host
	 * @return {@code true} if attempts can be relayed at this distance
	 */
	public boolean isAnyConnected(HostLocation.Distance distance) {
		long nowMs = this.clock.millis();
		return this.hosts.get()
			.stream()
			.filter((host) -> distance(host) == distance.ordinal())
			.map((host) -> belief(host.name()))
			.anyMatch((belief) -> belief.isUsable(nowMs) && belief.isProven(nowMs));
	}

	/**
	 * Returns the first few hosts at a distance that are not known to be cut off, to be
	 * asked whether they reach targets.
	 * @param distance the distance of the hosts
	 * @return hosts in order of preference
	 */
	public List<RelayHost> candidates(HostLocation.Distance distance) {
		long nowMs = this.clock.millis();
		return this.hosts.get()
			.stream()
			.filter((host) -> distance(host) == distance.ordinal() && belief(host.name()).isUsable(nowMs))
			.limit(HOSTS_IN_USE)
			.toList();
	}

	/**
	 * Returns the host that relays an attempt.
	 * @param targetId the identity of the attempt's target
	 * @return the host, or {@code null} if none is known that may reach the target and
	 * has room
	 */
	@Nullable RelayHost choose(String targetId) {
		long nowMs = this.clock.millis();
		Set<String> unreachingDomains = unreachingDomains(targetId, nowMs);
		RelayHost chosen = null;
		double bestRank = Double.MAX_VALUE;
		int inUse = 0;
		// Of the hosts with the best rank, the first few in the order of this host share
		// the targets.
		for (RelayHost host : this.hosts.get()) {
			if (!belief(host.name()).mayReach(targetId, nowMs)) {
				continue;
			}
			double rank = rank(host, targetId, unreachingDomains, nowMs);
			if (rank < bestRank) {
				bestRank = rank;
				inUse = 0;
				chosen = null;
			}
			if (rank == bestRank && inUse++ < HOSTS_IN_USE
					&& (chosen == null || mixedHash(host.name(), targetId) < mixedHash(chosen.name(), targetId))) {
				chosen = host;
			}
		}
		return chosen;
	}

	// The rank of a host is its distance, with a cost for what is not known of it. One
	// that reaches the target itself goes before all others at its distance.
	private double rank(RelayHost host, String targetId, Set<String> unreachingDomains, long nowMs) {
		Belief belief = belief(host.name());
		if (belief.reaches(targetId, nowMs)) {
			return distance(host) - REACHING_RANK;
		}
		return distance(host) + (belief.isProven(nowMs) ? 0 : UNKNOWN_RANK)
				+ (unreachingDomains.contains(host.failureDomain()) ? UNREACHING_DOMAIN_RANK : 0);
	}

	// Returns the failure domains with a host that reaches other targets but not this
	// one.
	private Set<String> unreachingDomains(String targetId, long nowMs) {
		Set<String> domains = new HashSet<>();
		for (RelayHost host : this.hosts.get()) {
			if (belief(host.name()).reachesAllBut(targetId, nowMs)) {
				domains.add(host.failureDomain());
			}
		}
		return domains;
	}

	/**
	 * Returns whether a target has answered over another host recently.
	 * @param targetId the target's identity
	 * @return {@code true} if the target is healthy behind a closed path
	 */
	boolean isReached(String targetId) {
		long nowMs = this.clock.millis();
		return this.beliefs.values().stream().anyMatch((belief) -> belief.reaches(targetId, nowMs));
	}

	/**
	 * Returns how many hosts that reach other targets do not reach this one.
	 * @param targetId the target's identity
	 * @return a number of hosts
	 */
	int unreachedCount(String targetId) {
		long nowMs = this.clock.millis();
		return (int) this.beliefs.values().stream().filter((belief) -> belief.reachesAllBut(targetId, nowMs)).count();
	}

	/**
	 * Returns whether each failure domain that could be asked has a host that reaches
	 * other targets but not this one. The paths of a whole domain may be closed together,
	 * so its hosts alone do not show that a target is down.
	 * @param targetId the target's identity
	 * @return {@code true} if no host of a further domain is left to be asked
	 */
	boolean isUnreachedFromAllDomains(String targetId) {
		long nowMs = this.clock.millis();
		Set<String> unreachingDomains = unreachingDomains(targetId, nowMs);
		return this.hosts.get()
			.stream()
			.filter((host) -> belief(host.name()).isUsable(nowMs))
			.allMatch((host) -> unreachingDomains.contains(host.failureDomain()));
	}

	/**
	 * Records that an attempt is being sent over a host. Each call is followed by
	 * {@link #recordEnd}.
	 * @param host the host
	 */
	public void recordSent(RelayHost host) {
		belief(host.name()).inFlight.incrementAndGet();
	}

	/**
	 * Records that a relayed attempt has ended.
	 * @param host the host
	 */
	public void recordEnd(RelayHost host) {
		belief(host.name()).inFlight.decrementAndGet();
	}

	/**
	 * Records that a target has answered over a host.
	 * @param host the host
	 * @param targetId the target's identity
	 */
	public void recordReached(RelayHost host, String targetId) {
		long nowMs = this.clock.millis();
		Belief belief = belief(host.name());
		belief.provenMs = nowMs;
		belief.reached.put(targetId, nowMs);
		belief.unreached.remove(targetId);
	}

	/**
	 * Records that a host did not reach a target.
	 * @param host the host
	 * @param targetId the target's identity
	 * @param reachesOthers whether the host reaches other targets
	 */
	public void recordUnreached(RelayHost host, String targetId, boolean reachesOthers) {
		long nowMs = this.clock.millis();
		Belief belief = belief(host.name());
		belief.recordUnreached(targetId, nowMs);
		if (reachesOthers) {
			belief.provenMs = nowMs;
		}
		else {
			belief.provenMs = PathState.NEVER;
			belief.avoidUntilMs = nowMs + SUSPECT_MS;
		}
	}

	/**
	 * Records that a host is cut off itself.
	 * @param host the host
	 */
	public void recordCutOff(RelayHost host) {
		Belief belief = belief(host.name());
		belief.cutOffUntilMs = this.clock.millis() + CUT_OFF_VALID_MS;
		belief.provenMs = PathState.NEVER;
	}

	/**
	 * Records that a host could not be connected to, or takes no attempts now.
	 * @param host the host
	 */
	public void recordUnavailable(RelayHost host) {
		belief(host.name()).avoidUntilMs = this.clock.millis() + UNAVAILABLE_MS;
	}

	/**
	 * Records that a host has no room.
	 * @param host the host
	 * @param retryAfterMs when it expects to have room, in milliseconds from now
	 */
	public void recordBusy(RelayHost host, long retryAfterMs) {
		belief(host.name()).busyUntilMs = this.clock.millis() + retryAfterMs;
	}

	/**
	 * Returns when the caller of a request should come back that found no host with room.
	 * @return the delay in milliseconds, 0 if no host lacks only room
	 */
	public long retryAfterMs() {
		long nowMs = this.clock.millis();
		return this.hosts.get()
			.stream()
			.map((host) -> belief(host.name()))
			.filter((belief) -> belief.isUsable(nowMs) && !belief.hasRoom(nowMs))
			.mapToLong((belief) -> Math.max(belief.busyUntilMs - nowMs, RelayAdmission.RETRY_AFTER_MS))
			.min()
			.orElse(0);
	}

	private Belief belief(String host) {
		return this.beliefs.computeIfAbsent(host, (name) -> new Belief());
	}

	/**
	 * What is known of one host. Each field is written on its own; a reader that sees an
	 * older one only chooses another host.
	 */
	private static final class Belief {

		private final AtomicInteger inFlight = new AtomicInteger();

		private final ConcurrentMap<String, Long> unreached = new ConcurrentHashMap<>();

		private final ConcurrentMap<String, Long> reached = new ConcurrentHashMap<>();

		private volatile long cutOffUntilMs = PathState.NEVER;

		private volatile long avoidUntilMs = PathState.NEVER;

		private volatile long busyUntilMs = PathState.NEVER;

		private volatile long provenMs = PathState.NEVER;

		private boolean isUsable(long nowMs) {
			return nowMs >= this.cutOffUntilMs && nowMs >= this.avoidUntilMs;
		}

		private boolean isProven(long nowMs) {
			return nowMs - this.provenMs < DirectPaths.PROOF_VALID_MS;
		}

		private boolean hasRoom(long nowMs) {
			return nowMs >= this.busyUntilMs && this.inFlight.get() < MAX_IN_FLIGHT;
		}

		private boolean mayReach(String targetId, long nowMs) {
			return isUsable(nowMs) && hasRoom(nowMs) && !hasNotReached(targetId, nowMs);
		}

		private boolean reaches(String targetId, long nowMs) {
			return nowMs - this.reached.getOrDefault(targetId, PathState.NEVER) < DirectPaths.PROOF_VALID_MS;
		}

		// What a host reports of itself is repeated with each of its heartbeats, so it is
		// valid for less time than a response.
		private void reportReached(String targetId, long nowMs) {
			this.reached.merge(targetId, nowMs - DirectPaths.PROOF_VALID_MS + DirectPaths.REACHED_VALID_MS, Math::max);
			this.unreached.remove(targetId);
		}

		private void recordUnreached(String targetId, long nowMs) {
			this.reached.remove(targetId);
			this.unreached.put(targetId, nowMs + UNREACHED_MS);
		}

		private boolean reachesAllBut(String targetId, long nowMs) {
			return isProven(nowMs) && hasNotReached(targetId, nowMs);
		}

		private boolean hasNotReached(String targetId, long nowMs) {
			return nowMs < this.unreached.getOrDefault(targetId, PathState.NEVER);
		}

	}

}
