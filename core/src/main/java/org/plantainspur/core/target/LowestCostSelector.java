package org.plantainspur.core.target;

import java.util.Comparator;
import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.reach.PathChooser;
import org.plantainspur.core.time.Clock;

/**
 * Selects the target with the lowest expected cost for an attempt. The cost is the sum of
 * the expected losses by a failure, by waiting for a slot, by a decline and by billed
 * bytes to another failure domain, each as a fraction of the value of a response. The
 * weights are meant for a few hosts that share their targets, where some targets fail for
 * seconds at a time and some are slow. Under load all targets get requests, since a full
 * queue costs more than a target that is likely to be unhealthy.
 * <p>
 * While a service fails many requests, its floor must stay in use: the configured
 * fraction of its targets that are least likely to be unhealthy.
 */
public final class LowestCostSelector implements TargetSelector {

	/**
	 * Cost of a target in another failure domain of the same region. The target may be
	 * busy with requests that this host does not see, and headers are billed as well as
	 * bodies.
	 */
	static final double OTHER_DOMAIN_COST = 0.12;

	/**
	 * Cost of each kilobyte of the request's and the expected response's body, for a
	 * target in another failure domain of the same region. These bytes are billed.
	 */
	static final double OTHER_DOMAIN_COST_PER_KB = 0.03;

	/**
	 * Cost of a target in another region. In addition to the reasons for
	 * {@link #OTHER_DOMAIN_COST}, the request takes a round trip of 60 ms over a link of
	 * low bandwidth.
	 */
	static final double OTHER_REGION_COST = 0.2;

	/** Like {@link #OTHER_DOMAIN_COST_PER_KB}, for a target in another region. */
	static final double OTHER_REGION_COST_PER_KB = 0.05;

	/**
	 * Upper limit of the cost of bytes, so that a request that must not be retried avoids
	 * a target that is very likely to fail even if its response is large.
	 */
	private static final double MAX_BYTES_COST = 0.4;

	private static final double BYTES_PER_KB = 1_024;

	/**
	 * Cost of a target of this failure domain that is in the subset of another host: it
	 * may be busy with requests that this host does not see. Less than
	 * {@link #OTHER_DOMAIN_COST}, so that it is still preferred to a target of another
	 * failure domain.
	 */
	static final double OTHER_SUBSET_COST = 0.1;

	/**
	 * Cost of a failure that may be retried, relative to 1 for one that must not: the
	 * retry usually succeeds, but later.
	 */
	private static final double RETRYABLE_FAILURE_COST = 0.3;

	/**
	 * Largest cost reduction for sending a retryable request to a target of this failure
	 * domain that has no request in flight and a stale health estimate. The outcome tells
	 * whether the target is safe for requests that must not be retried.
	 */
	private static final double PROBE_GAIN = 0.25;

	/**
	 * Cost of a target whose slots are all in use; in proportion if some are free. It
	 * spreads requests over the targets at the same distance. Kept small, so that they
	 * are not spread evenly: a target that has just succeeded is known to be healthy,
	 * while a rarely used one shows only by a failed request that it has become
	 * unhealthy.
	 */
	private static final double LOAD_COST = 0.03;

	/**
	 * Load above which requests sometimes wait for a slot. The load is the utilization of
	 * the slots times the slowness.
	 */
	private static final double QUEUEING_LOAD = 0.75;

	/** Cost of each unit of load above {@link #QUEUEING_LOAD}. */
	private static final double QUEUEING_COST = 0.5;

	/**
	 * Cost of each multiple of the typical duration by which a target is slower, since a
	 * late response may miss its deadline.
	 */
	private static final double SLOW_COST = 0.1;

	/** Cost of a target that has recently declined a request, as its queue was full. */
	private static final double DECLINED_COST = 0.3;

	/**
	 * Probability of being unhealthy above which each request in flight adds
	 * {@link #UNHEALTHY_IN_FLIGHT_COST}, since the target may fail all of them together.
	 */
	private static final double LIKELY_UNHEALTHY_PROBABILITY = 0.4;

	/**
	 * Cost of each request in flight from this host on a target that is likely to be
	 * unhealthy.
	 */
	private static final double UNHEALTHY_IN_FLIGHT_COST = 0.3;

	/**
	 * Failure rate from which on a service must keep its floor of targets in use. The
	 * floor is required when a tenth of the fleet's requests fails; the threshold is
	 * lower because one host sees few of them.
	 */
	private static final double FLOOR_FAILURE_RATE = 0.06;

	/**
	 * While the floor must be kept, a floor target of this host's subset gets the next
	 * request when this host has sent it none for this long. Use of the floor is measured
	 * over 2 s.
	 */
	static final long FLOOR_INTERVAL_MS = 1_000;

	/**
	 * A target of this host's subset gets the next retryable request when this host has
	 * sent it none for this long, whatever its health estimate. The floor may be required
	 * before this host knows it, since requests that still wait for a response may fail,
	 * and use of the floor is measured over 2 s.
	 */
	static final long PROBE_INTERVAL_MS = 1_600;

	/**
	 * Cost reduction of a target that is due for a floor request or a probe; outweighs
	 * the usual differences of the other costs.
	 */
	private static final double FLOOR_GAIN = 10;

	/**
	 * Cost of a target at whose address another target has answered. It is selected only
	 * if all eligible targets are misdirected.
	 */
	private static final double MISDIRECTED_COST = 100;

	private final double floorShare;

	private final TargetRegistry registry;

	private final AttemptRecorder recorder;

	private final TargetSubset subset;

	private final HostLocation location;

	private final TargetPermits permits;

	private final PathChooser paths;

	private final Clock clock;

	private final DoubleSupplier random;

	/**
	 * Creates a selector.
	 * @param registry the listed targets with their observed state
	 * @param recorder provides the failure rate of a service and the typical response
	 * size of a route
	 * @param subset the targets of the failure domain that this host prefers
	 * @param location the failure domain of this host and the regions of all domains
	 * @param permits tells whether a target takes a request now
	 * @param paths chooses the path to a target
	 * @param floorShare the fraction of a service's targets, from 0 to 1, that stays in
	 * use while the service fails many requests
	 * @param clock the host's clock
	 * @param random returns numbers from 0 to 1, which break ties between targets of
	 * almost equal cost
	 */
	public LowestCostSelector(TargetRegistry registry, AttemptRecorder recorder, TargetSubset subset,
			HostLocation location, TargetPermits permits, PathChooser paths, double floorShare, Clock clock,
			DoubleSupplier random) {
		this.registry = registry;
		this.recorder = recorder;
		this.subset = subset;
		this.location = location;
		this.permits = permits;
		this.paths = paths;
		this.floorShare = floorShare;
		this.clock = clock;
		this.random = random;
	}

	@Override
	public @Nullable Selection select(String service, Predicate<ObservedTarget> eligible, AttemptProfile profile) {
		Selection best = lowestCost(service, eligible, profile);
		// Another thread may have taken the permit in the meantime; the target is not
		// available then.
		while (best != null && !this.permits.tryTake(best.target())) {
			best = lowestCost(service, eligible, profile);
		}
		return best;
	}

	private @Nullable Selection lowestCost(String service, Predicate<ObservedTarget> eligible, AttemptProfile profile) {
		List<ObservedTarget> targets = this.registry.targets(service);
		long now = this.clock.millis();
		boolean keepFloor = this.recorder.failureRate(service) >= FLOOR_FAILURE_RATE;
		double avoidanceThreshold = keepFloor ? avoidanceThreshold(targets, now) : HealthEstimate.PRIOR;
		Selection best = null;
		double bestCost = Double.MAX_VALUE;
		int index = 0;
		for (ObservedTarget target : targets) {
			boolean sameDomain = this.location
				.distanceTo(target.listing().failureDomain()) == HostLocation.Distance.SAME_DOMAIN;
			boolean otherSubset = sameDomain && !this.subset.contains(index++);
			PathChooser.Choice path = (eligible.test(target) && this.permits.available(target))
					? this.paths.choose(target, profile.openConnections()) : null;
			if (path != null) {
				double cost = cost(target, avoidanceThreshold, profile, now) + path.cost()
						+ (otherSubset ? OTHER_SUBSET_COST : 0);
				if (sameDomain && !otherSubset && !path.doubtful() && (isProbeDue(target, profile, now)
						|| (keepFloor && isFloorRequestDue(target, avoidanceThreshold, now)))) {
					cost -= FLOOR_GAIN;
				}
				if (cost < bestCost) {
					best = new Selection(target, path.path());
					bestCost = cost;
				}
			}
		}
		return best;
	}

	private boolean isProbeDue(ObservedTarget target, AttemptProfile profile, long now) {
		return profile.retryable() && this.subset.carriesTraffic() && !target.isMisdirected(now)
				&& target.inFlight() == 0 && target.idleMs(now) >= PROBE_INTERVAL_MS;
	}

	private boolean isFloorRequestDue(ObservedTarget target, double avoidanceThreshold, long now) {
		return !target.isMisdirected(now) && target.healthEstimate().unhealthyAt(now) <= avoidanceThreshold
				&& target.idleMs(now) >= FLOOR_INTERVAL_MS;
	}

	// Returns the highest probability of being unhealthy among the targets of the floor.
	// Targets up to it must stay in use, so their failure probability counts as at most
	// the prior; only those above it are avoided.
	private double avoidanceThreshold(List<ObservedTarget> targets, long now) {
		int avoidable = (int) Math.floor(targets.size() * (1 - this.floorShare));
		return targets.stream()
			.map((target) -> target.healthEstimate().unhealthyAt(now))
			.sorted(Comparator.reverseOrder())
			.skip(avoidable)
			.findFirst()
			.orElse(HealthEstimate.PRIOR);
	}

	private double cost(ObservedTarget target, double avoidanceThreshold, AttemptProfile profile, long now) {
		double unhealthy = target.healthEstimate().unhealthyAt(now);
		double failureProbability = (unhealthy <= avoidanceThreshold)
				? Math.min(target.healthEstimate().failureProbability(now), HealthEstimate.PRIOR)
				: target.healthEstimate().failureProbability(now);
		double slowness = target.slowness(now);
		double load = target.utilization(now) * slowness;
		double distance = distanceCost(target, profile);
		double cost = failureProbability * (profile.retryable() ? RETRYABLE_FAILURE_COST : 1) + distance
				+ LOAD_COST * load + QUEUEING_COST * Math.max(0, load - QUEUEING_LOAD) + SLOW_COST * (slowness - 1)
				+ this.random.getAsDouble() * LOAD_COST / 10;
		if (profile.retryable() && target.inFlight() == 0 && distance == 0) {
			cost -= PROBE_GAIN * target.healthEstimate().staleness(now);
		}
		if (target.declinedRecently(now)) {
			cost += DECLINED_COST;
		}
		if (unhealthy > LIKELY_UNHEALTHY_PROBABILITY) {
			cost += target.inFlight() * UNHEALTHY_IN_FLIGHT_COST;
		}
		return target.isMisdirected(now) ? cost + MISDIRECTED_COST : cost;
	}

	private double distanceCost(ObservedTarget target, AttemptProfile profile) {
		double kilobytes = (profile.requestBytes() + this.recorder.typicalResponseBytes(profile.route()))
				/ BYTES_PER_KB;
		return switch (this.location.distanceTo(target.listing().failureDomain())) {
			case SAME_DOMAIN -> 0;
			case SAME_REGION -> OTHER_DOMAIN_COST + Math.min(MAX_BYTES_COST, kilobytes * OTHER_DOMAIN_COST_PER_KB);
			case OTHER_REGION -> OTHER_REGION_COST + Math.min(MAX_BYTES_COST, kilobytes * OTHER_REGION_COST_PER_KB);
		};
	}

}
