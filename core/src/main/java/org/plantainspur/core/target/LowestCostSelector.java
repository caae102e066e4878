package org.plantainspur.core.target;

import java.util.Comparator;
import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.time.Clock;

/**
 * Selects the target with the lowest expected cost for an attempt. The cost is the sum of
 * the expected losses by a failure, by waiting for a slot, by a decline and by billed
 * bytes to another failure domain, each as a fraction of the value of a response. The
 * costs suit a few hosts that share targets of which some fail for seconds and some are
 * slow. Under load all targets get requests, since a full queue costs more than a target
 * that is likely to be unhealthy.
 */
public final class LowestCostSelector implements TargetSelector {

	/**
	 * A target of another failure domain may be busy with requests that this host does
	 * not see, and headers are billed too.
	 */
	static final double OTHER_DOMAIN_COST = 0.12;

	/**
	 * Cost of each kilobyte to or from another failure domain, where bytes are billed.
	 */
	static final double OTHER_DOMAIN_COST_PER_KB = 0.03;

	/**
	 * A request to another region also takes a round trip of 60 ms over a link of low
	 * bandwidth.
	 */
	static final double OTHER_REGION_COST = 0.2;

	static final double OTHER_REGION_COST_PER_KB = 0.05;

	/**
	 * Limits the cost of bytes, so that a large response is never worth a target that is
	 * certain to fail.
	 */
	private static final double MAX_BYTES_COST = 0.4;

	private static final double BYTES_PER_KB = 1_024;

	/**
	 * A target that another host of the failure domain prefers may be busy with requests
	 * that this host does not see. It still costs less than a target of another failure
	 * domain.
	 */
	static final double OTHER_SUBSET_COST = 0.1;

	/** Cost of a failure that may be retried: the retry usually succeeds, but later. */
	private static final double RETRYABLE_FAILURE_COST = 0.3;

	/**
	 * Gain of sending an idempotent request to a target with a stale estimate: its
	 * outcome tells which targets are safe for requests that must not be retried.
	 */
	private static final double PROBE_GAIN = 0.25;

	/**
	 * Cost of a target whose slots are all in use. It spreads requests over the targets
	 * at the same distance, but not evenly: a target that has just succeeded is known to
	 * be healthy, while a rarely used one shows its failures only by a request.
	 */
	private static final double LOAD_COST = 0.03;

	/** Load above which requests sometimes wait for a slot. */
	private static final double QUEUEING_LOAD = 0.75;

	private static final double QUEUEING_COST = 0.5;

	/** A response that takes several times the typical duration may miss its deadline. */
	private static final double SLOW_COST = 0.1;

	private static final double DECLINED_COST = 0.3;

	/**
	 * Probability of being unhealthy above which each request in flight adds to the cost,
	 * since the target may fail all of them together.
	 */
	private static final double LIKELY_UNHEALTHY = 0.4;

	private static final double UNHEALTHY_IN_FLIGHT_COST = 0.3;

	/**
	 * Failure rate above which a service must keep its floor of targets in use. The floor
	 * is required when a tenth of the fleet's requests fails; the threshold is lower
	 * because one host sees few of them.
	 */
	private static final double FLOOR_FAILURE_RATE = 0.06;

	/**
	 * While the floor must be kept, each target of the floor gets a request at this
	 * interval; use of the floor is measured over 2 s.
	 */
	static final long FLOOR_INTERVAL_MS = 1_000;

	/**
	 * Idempotent requests probe each target of this host's subset at this interval,
	 * whatever its estimate: requests without a response yet may be failing, and use of
	 * the floor is measured over 2 s.
	 */
	static final long PROBE_INTERVAL_MS = 1_600;

	/** Outweighs all cost differences between targets that may get requests. */
	private static final double FLOOR_GAIN = 10;

	private static final double MISDIRECTED_COST = 100;

	private final double floorShare;

	private final TargetRegistry registry;

	private final AttemptRecorder recorder;

	private final TargetSubset subset;

	private final HostLocation location;

	private final Clock clock;

	private final DoubleSupplier random;

	/**
	 * Creates a selector.
	 * @param registry the listed targets with their observed state
	 * @param recorder gives the failure rate of a service and the typical response size
	 * of a route
	 * @param subset the targets of the failure domain that this host prefers
	 * @param location the failure domain of this host and the regions of all domains
	 * @param floorShare the fraction of a service's targets, from 0 to 1, that stays in
	 * use while the service fails many requests
	 * @param clock the host's clock
	 * @param random gives numbers from 0 to 1 that break ties between targets of equal
	 * cost
	 */
	public LowestCostSelector(TargetRegistry registry, AttemptRecorder recorder, TargetSubset subset,
			HostLocation location, double floorShare, Clock clock, DoubleSupplier random) {
		this.registry = registry;
		this.recorder = recorder;
		this.subset = subset;
		this.location = location;
		this.floorShare = floorShare;
		this.clock = clock;
		this.random = random;
	}

	@Override
	public @Nullable ObservedTarget select(String service, Predicate<ObservedTarget> eligible, AttemptProfile profile) {
		List<ObservedTarget> targets = this.registry.targets(service);
		long now = this.clock.millis();
		boolean keepFloor = this.recorder.failureRate(service) >= FLOOR_FAILURE_RATE;
		double avoidanceThreshold = keepFloor ? avoidanceThreshold(targets, now) : HealthEstimate.PRIOR;
		ObservedTarget best = null;
		double bestCost = Double.MAX_VALUE;
		int index = 0;
		for (ObservedTarget target : targets) {
			boolean sameDomain = this.location
				.distanceTo(target.listing().failureDomain()) == HostLocation.Distance.SAME_DOMAIN;
			boolean otherSubset = sameDomain && !this.subset.contains(index++);
			if (eligible.test(target)) {
				double cost = cost(target, avoidanceThreshold, profile, now) + (otherSubset ? OTHER_SUBSET_COST : 0);
				if (sameDomain && !otherSubset && (isProbeDue(target, profile, now)
						|| (keepFloor && isFloorRequestDue(target, avoidanceThreshold, now)))) {
					cost -= FLOOR_GAIN;
				}
				if (cost < bestCost) {
					best = target;
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

	// While a service fails many requests, only the targets outside its floor may be
	// avoided, those most likely to be unhealthy. Returns the highest probability of a
	// target that must stay in use; targets up to it count as if their health were
	// unknown.
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
		if (unhealthy > LIKELY_UNHEALTHY) {
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
