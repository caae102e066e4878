package org.plantainspur.core.health;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.plantainspur.core.routing.Target;

/**
 * Selects the targets that this host may use, so that their slots stay at or above the
 * capacity floor whatever verdicts the host holds. It is applied each time a target is
 * chosen.
 */
public final class CapacityFloor {

	/**
	 * The minimum weight of a usable target, where 1 is the full weight. Unhealthy
	 * targets that are not ejected and ejected ones that are used only to reach the floor
	 * have this weight.
	 */
	public static final double MIN_WEIGHT = 0.1;

	/**
	 * Subtracted before the floor is rounded up to whole slots, so that a rounding error
	 * does not turn a floor of 0.7 of 10 slots into 8 slots.
	 */
	private static final double ROUNDING_TOLERANCE = 1e-9;

	private CapacityFloor() {
	}

	/**
	 * Returns the number of slots that ejections must leave in use.
	 * @param targets the targets that are not leaving
	 * @param floor the capacity floor as a fraction of the slots, 0 to 1
	 * @return the number of slots; at least one if the targets have any
	 */
	public static int floorSlots(List<Target> targets, double floor) {
		int slots = slots(targets);
		int needed = (int) Math.ceil(floor * slots - ROUNDING_TOLERANCE);
		return Math.min(slots, Math.max(1, needed));
	}

	static int slots(List<Target> targets) {
		return targets.stream().mapToInt(Target::slots).sum();
	}

	/**
	 * Returns the targets that may be used. An ejection that requires a larger budget
	 * than the given targets leave is ignored. If the remaining targets still have fewer
	 * slots than the floor, the least unhealthy of the ejected ones are added with
	 * {@link #MIN_WEIGHT}.
	 * @param targets the targets that are not leaving
	 * @param health the verdicts that this host holds on the service
	 * @param floor the capacity floor as a fraction of the slots, 0 to 1
	 * @param nowMillis the current reading of the process clock in milliseconds
	 * @return the usable targets with their weights
	 */
	public static List<Usable> usable(List<Target> targets, HealthView.ServiceHealth health, double floor,
			long nowMillis) {
		List<Usable> usable = new ArrayList<>(targets.size());
		List<Target> ejected = new ArrayList<>();
		int floorSlots = floorSlots(targets, floor);
		int budget = slots(targets) - floorSlots;
		int slots = 0;
		for (Target target : targets) {
			HealthView.TargetHealth targetHealth = health.target(target.id());
			if (targetHealth.ejectedAt(nowMillis) && targetHealth.requiredBudget() <= budget) {
				ejected.add(target);
			}
			else {
				usable.add(new Usable(target, targetHealth.weightAt(nowMillis), targetHealth.load()));
				slots += target.slots();
			}
		}
		if (!ejected.isEmpty()) {
			restoreLeastUnhealthy(usable, ejected, health, floorSlots - slots);
		}
		return usable;
	}

	private static void restoreLeastUnhealthy(List<Usable> usable, List<Target> ejected,
			HealthView.ServiceHealth health, int missingSlots) {
		int stillMissing = missingSlots;
		ejected.sort(Comparator.comparingDouble((Target target) -> health.target(target.id()).severity())
			.thenComparing(Target::id));
		for (Target target : ejected) {
			if (stillMissing <= 0) {
				return;
			}
			usable.add(new Usable(target, MIN_WEIGHT, health.target(target.id()).load()));
			stillMissing -= target.slots();
		}
	}

	/**
	 * A target that may receive requests.
	 *
	 * @param target the target
	 * @param weight its weight, 0.1 to 1
	 * @param load the number of requests in flight on it from all hosts, as last reported
	 * by the coordinator; 0 if unknown
	 */
	public record Usable(Target target, double weight, int load) {
	}

}
