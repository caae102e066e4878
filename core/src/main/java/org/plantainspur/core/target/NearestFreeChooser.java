package org.plantainspur.core.target;

import java.util.Comparator;
import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.time.Clock;

/**
 * Chooses the target at which a request is expected to lose least: by a failure, by
 * waiting for a slot, by a decline, and by the billed bytes to another failure domain.
 * All losses are parts of what the answer is worth. Answers the load of a few hosts
 * before targets of which some fail for seconds and some are slow; under load all targets
 * get work, since a full queue loses more than a doubtful target.
 */
public final class NearestFreeChooser implements TargetChooser {

	/**
	 * A target of another failure domain may be busy without this host knowing, and
	 * headers are billed too.
	 */
	static final double OTHER_DOMAIN_COST = 0.12;

	/** A kilobyte to or from another failure domain, against the worth of a request. */
	static final double OTHER_DOMAIN_COST_PER_KB = 0.03;

	/** Besides, a round trip of 60 ms on a narrow link. */
	static final double OTHER_REGION_COST = 0.2;

	static final double OTHER_REGION_COST_PER_KB = 0.05;

	/** Even a large answer is worth more than the target that is certain to fail it. */
	private static final double LARGEST_BYTES_COST = 0.4;

	private static final double KB = 1_024;

	/**
	 * A target that another host of the failure domain uses first may be busy without
	 * this one knowing; still cheaper than another failure domain.
	 */
	static final double OTHERS_SHARE_COST = 0.1;

	/** A second attempt of an idempotent request usually succeeds, but comes later. */
	private static final double REPEATABLE_LOSS = 0.3;

	/**
	 * An idempotent request on a target of which little is known tells the others, which
	 * may not be repeated, where to go.
	 */
	private static final double KNOWLEDGE_WORTH = 0.25;

	/**
	 * Targets at the same distance share the work, but not evenly: a target that just
	 * answered well is known to be well, and a target that is rarely used must be found
	 * sick by a request.
	 */
	private static final double EVEN_COST = 0.03;

	/** From here on, requests wait for a slot now and then. */
	private static final double BUSY = 0.75;

	private static final double WAIT_COST = 0.5;

	/** An answer that takes several times as long may be late. */
	private static final double SLOW_COST = 0.1;

	private static final double DECLINED_COST = 0.3;

	/** A doubtful target fails requests that are sent together. */
	private static final double DOUBTFUL = 0.4;

	private static final double DOUBTFUL_BUSY_COST = 0.3;

	/**
	 * From here on a service must keep its floor of targets in use. The floor is asked
	 * for when a tenth of the fleet's requests fails; one host sees few of them.
	 */
	private static final double FLOOR_FAILURES = 0.06;

	/**
	 * While the floor must be kept, each target that counts for it gets a request this
	 * often; whether it did is looked at over 2 s.
	 */
	static final long FLOOR_INTERVAL_MS = 1_000;

	/**
	 * Idempotent requests visit each target of this host's share this often, whatever is
	 * known of it: requests may be failing without an answer yet, and the floor is looked
	 * at over 2 s.
	 */
	static final long VISIT_INTERVAL_MS = 1_600;

	/** Goes before all differences between targets that may get work. */
	private static final double FLOOR_GAIN = 10;

	private static final double GONE_COST = 100;

	private final double floorShare;

	private final TargetDirectory directory;

	private final TargetResults results;

	private final TargetShare share;

	private final Place place;

	private final Clock clock;

	private final DoubleSupplier random;

	/**
	 * Creates a chooser.
	 * @param directory the targets
	 * @param results what is known of them
	 * @param share the targets that this host uses first
	 * @param place where this host stands
	 * @param floorShare the part of a service's targets that gets work while the service
	 * fails many requests
	 * @param clock the host's clock
	 * @param random gives numbers from 0 to 1 that decide between equal targets
	 */
	public NearestFreeChooser(TargetDirectory directory, TargetResults results, TargetShare share, Place place,
			double floorShare, Clock clock, DoubleSupplier random) {
		this.directory = directory;
		this.results = results;
		this.share = share;
		this.place = place;
		this.floorShare = floorShare;
		this.clock = clock;
		this.random = random;
	}

	@Override
	public @Nullable Target choose(String service, Predicate<Target> eligible, Work work) {
		List<Target> targets = this.directory.targets(service);
		long now = this.clock.millis();
		boolean floor = this.results.failureShare(service) >= FLOOR_FAILURES;
		double spared = floor ? sparedAbove(targets, now) : SicknessBelief.UNKNOWN;
		Target best = null;
		double bestCost = Double.MAX_VALUE;
		int index = 0;
		for (Target target : targets) {
			boolean here = this.place.to(target.entry().failureDomain()) == Place.Distance.SAME_DOMAIN;
			boolean others = here && !this.share.includes(index++);
			if (eligible.test(target)) {
				double cost = cost(target, spared, work, now) + (others ? OTHERS_SHARE_COST : 0);
				if (here && !others && (isVisitDue(target, work, now) || (floor && isFloorDue(target, spared, now)))) {
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

	private boolean isVisitDue(Target target, Work work, long now) {
		return work.repeatable() && this.share.carries() && !target.isGone(now) && target.inFlight() == 0
				&& target.unusedMs(now) >= VISIT_INTERVAL_MS;
	}

	private boolean isFloorDue(Target target, double spared, long now) {
		return !target.isGone(now) && target.belief().now(now) <= spared && target.unusedMs(now) >= FLOOR_INTERVAL_MS;
	}

	// While a service fails many requests, only so many of its targets may be spared: the
	// ones most likely sick. The others get work as if nothing were known of them.
	private double sparedAbove(List<Target> targets, long now) {
		int mayBeSpared = (int) Math.floor(targets.size() * (1 - this.floorShare));
		return targets.stream()
			.map((target) -> target.belief().now(now))
			.sorted(Comparator.reverseOrder())
			.skip(mayBeSpared)
			.findFirst()
			.orElse(SicknessBelief.UNKNOWN);
	}

	private double cost(Target target, double spared, Work work, long now) {
		double sick = target.belief().now(now);
		double failures = (sick <= spared) ? Math.min(target.belief().failureShare(now), SicknessBelief.UNKNOWN)
				: target.belief().failureShare(now);
		double slowness = target.slowness(now);
		double load = target.occupation(now) * slowness;
		double distance = distanceCost(target, work);
		double cost = failures * (work.repeatable() ? REPEATABLE_LOSS : 1) + distance + EVEN_COST * load
				+ WAIT_COST * Math.max(0, load - BUSY) + SLOW_COST * (slowness - 1)
				+ this.random.getAsDouble() * EVEN_COST / 10;
		if (work.repeatable() && target.inFlight() == 0 && distance == 0) {
			cost -= KNOWLEDGE_WORTH * target.belief().staleness(now);
		}
		if (target.declinedOfLate(now)) {
			cost += DECLINED_COST;
		}
		if (sick > DOUBTFUL) {
			cost += target.inFlight() * DOUBTFUL_BUSY_COST;
		}
		return target.isGone(now) ? cost + GONE_COST : cost;
	}

	private double distanceCost(Target target, Work work) {
		double kilobytes = (work.requestBytes() + this.results.usualAnswerBytes(work.route())) / KB;
		return switch (this.place.to(target.entry().failureDomain())) {
			case SAME_DOMAIN -> 0;
			case SAME_REGION -> OTHER_DOMAIN_COST + Math.min(LARGEST_BYTES_COST, kilobytes * OTHER_DOMAIN_COST_PER_KB);
			case OTHER_REGION -> OTHER_REGION_COST + Math.min(LARGEST_BYTES_COST, kilobytes * OTHER_REGION_COST_PER_KB);
		};
	}

}
