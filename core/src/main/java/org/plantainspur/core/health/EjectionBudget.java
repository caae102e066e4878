package org.plantainspur.core.health;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.plantainspur.core.routing.Target;
import org.plantainspur.core.time.ClockMargin;

/**
 * Tracks the ejections that any host may still hold and computes which further ones fit
 * the ejection budget (the slots above the capacity floor). Each ejection is charged
 * against the budget until the last verdict that contained it has expired at every host.
 * <p>
 * Each charge has a required budget: a host applies the ejection only while its own
 * budget, computed from the targets that it knows, is at least this. Required budgets are
 * assigned so that for every budget {@code b} the charges that require at most {@code b}
 * have at most {@code b} slots together. So hosts that see a smaller budget than the
 * coordinator stay within it together without further messages, whichever of the
 * ejections each of them holds.
 */
final class EjectionBudget {

	/** How long a verdict is valid, counted from before the host sent its report. */
	static final long VERDICT_LIFETIME_MILLIS = 2500;

	/**
	 * The slots charged for a target that is not in this process's list, unless an
	 * earlier charge has its slots. They exceed every budget, so nothing is ejected until
	 * such a charge ends.
	 */
	static final int UNKNOWN_SLOTS = 1_000_000;

	/** The required budget of a target that fits no budget. */
	static final int NO_SUFFICIENT_BUDGET = Integer.MAX_VALUE;

	private final Map<String, Charge> charges = new HashMap<>();

	/**
	 * Charges an ejection that a host may hold from now on. If the target is already
	 * charged, the charge is extended and keeps the smaller required budget.
	 * @param targetId the id of the ejected target
	 * @param slots the target's slots, or {@link #UNKNOWN_SLOTS}
	 * @param requiredBudget the required budget of the ejection in slots
	 * @param nowMillis the current reading of the process clock in milliseconds
	 */
	void charge(String targetId, int slots, int requiredBudget, long nowMillis) {
		Charge added = new Charge(nowMillis + ClockMargin.lengthen(VERDICT_LIFETIME_MILLIS), slots, requiredBudget);
		this.charges.merge(targetId, added, Charge::plus);
	}

	Set<String> chargedTargets() {
		return Set.copyOf(this.charges.keySet());
	}

	boolean isCharged(String targetId, long nowMillis) {
		Charge charge = this.charges.get(targetId);
		return charge != null && nowMillis < charge.expiresAt();
	}

	/**
	 * Returns the smallest budget with which a target may be ejected without going below
	 * the capacity floor.
	 * @param target the target to eject
	 * @param nowMillis the current reading of the process clock in milliseconds
	 * @return the budget in slots; {@link #NO_SUFFICIENT_BUDGET} if the target is already
	 * charged with a budget that is too small together with the other charges
	 */
	int requiredBudget(Target target, long nowMillis) {
		this.charges.values().removeIf((charge) -> charge.expiresAt() <= nowMillis);
		int required = requiredBudgetWithout(Set.of(target.id()), target);
		Charge ownCharge = this.charges.get(target.id());
		if (ownCharge == null) {
			return required;
		}
		// Some host may still hold the charged budget, so a target never gets a second
		// one.
		return (required <= ownCharge.requiredBudget()) ? ownCharge.requiredBudget() : NO_SUFFICIENT_BUDGET;
	}

	/**
	 * Returns whether a target will fit a budget once some charges have ended.
	 * @param ended the ids of the targets whose charges will have ended
	 * @param target the target to eject
	 * @param budget the budget in slots
	 * @return whether the target will fit
	 */
	boolean fitsWithout(Set<String> ended, Target target, int budget) {
		Set<String> without = new HashSet<>(ended);
		without.add(target.id());
		return requiredBudgetWithout(without, target) <= budget;
	}

	// Finds the smallest budget such that, with it and with every larger one, the target
	// fits together with the charges that require at most that budget.
	private int requiredBudgetWithout(Set<String> ignored, Target target) {
		List<Charge> sorted = this.charges.entrySet()
			.stream()
			.filter((entry) -> !ignored.contains(entry.getKey()))
			.map(Map.Entry::getValue)
			.sorted(Comparator.comparingInt(Charge::requiredBudget))
			.toList();
		int required = target.slots();
		int usedSlots = 0;
		for (int i = 0; i < sorted.size(); i++) {
			usedSlots += sorted.get(i).slots();
			int neededBudget = usedSlots + target.slots();
			if (neededBudget > sorted.get(i).requiredBudget()) {
				int next = (i + 1 < sorted.size()) ? sorted.get(i + 1).requiredBudget() : neededBudget;
				required = Math.max(required, Math.min(neededBudget, next));
			}
		}
		return required;
	}

	/**
	 * Returns the ejection budget.
	 * @param targets the targets that are not leaving
	 * @param floor the capacity floor as a fraction of the slots, 0 to 1
	 * @return the number of slots above the floor
	 */
	static int ejectableSlots(List<Target> targets, double floor) {
		return CapacityFloor.slots(targets) - CapacityFloor.floorSlots(targets, floor);
	}

	/**
	 * The charge for one ejection.
	 *
	 * @param expiresAt when the last verdict that contained the ejection has expired at
	 * every host, in milliseconds of the process clock
	 * @param slots the target's slots
	 * @param requiredBudget the smallest budget, in slots, with which hosts apply the
	 * ejection
	 */
	private record Charge(long expiresAt, int slots, int requiredBudget) {

		Charge plus(Charge other) {
			boolean unknown = this.slots == UNKNOWN_SLOTS || other.slots == UNKNOWN_SLOTS;
			return new Charge(Math.max(this.expiresAt, other.expiresAt),
					unknown ? Math.min(this.slots, other.slots) : Math.max(this.slots, other.slots),
					Math.min(this.requiredBudget, other.requiredBudget));
		}

	}

}
