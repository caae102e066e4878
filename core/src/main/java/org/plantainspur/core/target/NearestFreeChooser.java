package org.plantainspur.core.target;

import java.util.List;
import java.util.Set;
import java.util.function.DoubleSupplier;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.time.Clock;

/**
 * Chooses the target with the lowest cost: its occupation, times its slowness, plus a
 * penalty for its distance. Bytes between failure domains are billed and add latency, so
 * work stays in the failure domain until its targets are clearly fuller than others.
 * Answers the load of a few hosts before targets that fail for a second or slow down.
 */
public final class NearestFreeChooser implements TargetChooser {

	/** Work leaves the failure domain when its targets are this much fuller. */
	static final double OTHER_DOMAIN_PENALTY = 1.0;

	/** A round trip of 60 ms and the narrow link between regions. */
	static final double OTHER_REGION_PENALTY = 1.5;

	/** More than any occupation costs, so that any other target goes first. */
	private static final double AVOIDED = 100;

	/** After this time a request that cannot be repeated may be the trial as well. */
	private static final double TRIAL_BY_ANY_MS = 2_000;

	/** At least this part of a service's targets gets work, however many fail. */
	private final double floorShare;

	private final TargetDirectory directory;

	private final Place place;

	private final Clock clock;

	private final DoubleSupplier random;

	public NearestFreeChooser(TargetDirectory directory, Place place, double floorShare, Clock clock,
			DoubleSupplier random) {
		this.directory = directory;
		this.place = place;
		this.floorShare = floorShare;
		this.clock = clock;
		this.random = random;
	}

	@Override
	public @Nullable Target choose(String service, Set<String> tried, boolean idempotent) {
		List<Target> targets = this.directory.targets(service);
		long now = this.clock.millis();
		long avoided = targets.stream().filter((target) -> target.trust().avoided(now)).count();
		boolean belowFloor = avoided > Math.floor(targets.size() * (1 - this.floorShare));
		Target best = null;
		double bestCost = Double.MAX_VALUE;
		for (Target target : targets) {
			if (!tried.contains(target.entry().id())) {
				double cost = cost(target, belowFloor, idempotent, now);
				if (cost < bestCost) {
					best = target;
					bestCost = cost;
				}
			}
		}
		return best;
	}

	private double cost(Target target, boolean belowFloor, boolean idempotent, long now) {
		double cost = target.occupation(now) * target.slowness(now) + (target.slowness(now) - 1) * 0.25
				+ penalty(target) + this.random.getAsDouble() * 0.2;
		Target.Trust trust = target.trust();
		if (trust.avoided(now)) {
			// Below the floor the targets that failed longest ago get work again.
			cost += belowFloor ? 1 + (trust.avoidUntilMs() - now) / 2_000.0 : AVOIDED;
		}
		else if (trust.onTrial()) {
			cost += trialCost(target, idempotent, now - trust.avoidUntilMs());
		}
		return cost;
	}

	// One request at a time shows whether a target is well again, if possible one that
	// can be repeated.
	private static double trialCost(Target target, boolean idempotent, long sinceMs) {
		if (target.inFlight() > 0) {
			return AVOIDED / 2;
		}
		return idempotent ? 0 : Math.max(0, 1 - sinceMs / TRIAL_BY_ANY_MS);
	}

	private double penalty(Target target) {
		return switch (this.place.to(target.entry().failureDomain())) {
			case SAME_DOMAIN -> 0;
			case SAME_REGION -> OTHER_DOMAIN_PENALTY;
			case OTHER_REGION -> OTHER_REGION_PENALTY;
		};
	}

}
