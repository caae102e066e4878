package org.plantainspur.core.health;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.plantainspur.core.routing.Target;

/**
 * Keeps what this host may use at or above the floor, whatever verdicts it holds. It is
 * applied where a target is chosen.
 */
public final class FloorGuard {

	/** The least weight; also the weight of a target that only the floor keeps in use. */
	public static final double LEAST_WEIGHT = 0.1;

	/** Absorbs rounding, so that a floor of 0.7 of 10 slots is 7 slots and not 8. */
	private static final double ROUNDING = 1e-9;

	private FloorGuard() {
	}

	/**
	 * Returns the slots that ejection must leave in use.
	 * @param targets the targets that are not leaving
	 * @param floor the floor as a fraction of the slots, 0 to 1
	 * @return the slots; at least one if there are any
	 */
	public static int floorSlots(List<Target> targets, double floor) {
		int slots = slots(targets);
		int needed = (int) Math.ceil(floor * slots - ROUNDING);
		return Math.min(slots, Math.max(1, needed));
	}

	static int slots(List<Target> targets) {
		return targets.stream().mapToInt(Target::slots).sum();
	}

	/**
	 * Returns the targets that may be used. An ejection that requires a larger budget
	 * than the given targets leave has no effect; if the others still leave less than the
	 * floor, the least sick of them return. Such targets get {@link #LEAST_WEIGHT}.
	 * @param targets the targets that are not leaving
	 * @param health what this host holds about them
	 * @param floor the floor as a fraction of the slots, 0 to 1
	 * @param nowMillis the current reading of the process clock
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
			HealthView.TargetHealth held = health.target(target.id());
			if (held.ejectedAt(nowMillis) && held.requiredBudget() <= budget) {
				ejected.add(target);
			}
			else {
				usable.add(new Usable(target, held.weightAt(nowMillis), held.load()));
				slots += target.slots();
			}
		}
		if (!ejected.isEmpty()) {
			restore(usable, ejected, health, floorSlots - slots);
		}
		return usable;
	}

	private static void restore(List<Usable> usable, List<Target> ejected, HealthView.ServiceHealth health,
			int missing) {
		int left = missing;
		ejected.sort(Comparator.comparingDouble((Target target) -> health.target(target.id()).sickness())
			.thenComparing(Target::id));
		for (Target target : ejected) {
			if (left <= 0) {
				return;
			}
			usable.add(new Usable(target, LEAST_WEIGHT, health.target(target.id()).load()));
			left -= target.slots();
		}
	}

	/**
	 * A target that may be used.
	 *
	 * @param target the target
	 * @param weight its weight, 0.1 to 1
	 * @param load requests in flight on it from all hosts
	 */
	public record Usable(Target target, double weight, int load) {
	}

}
