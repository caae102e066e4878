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
 * The ejections that some host may still hold. Each is charged against the budget until
 * the last verdict that carried it has expired everywhere.
 * <p>
 * Each charge has a required budget: a host keeps the ejection only while its own budget,
 * by the targets that it knows, is at least this. The ledger assigns required budgets so
 * that for every budget {@code b} the charges that require at most {@code b} have at most
 * {@code b} slots together. So hosts that see a smaller budget than the coordinator keep
 * to it together, without a message, whichever of the ejections each of them holds.
 */
final class EjectionLedger {

	/** Verdicts hold this long, from before the report was sent. */
	static final long LIFETIME_MILLIS = 2500;

	/**
	 * The slots of a target that this process never saw listed. They fit no budget, so
	 * nothing is ejected until such a charge ends.
	 */
	static final int UNKNOWN_SLOTS = 1_000_000;

	/** No budget is enough. */
	static final int UNAVAILABLE = Integer.MAX_VALUE;

	private final Map<String, Charge> charges = new HashMap<>();

	void charge(String targetId, int slots, int requiredBudget, long nowMillis) {
		Charge added = new Charge(nowMillis + ClockMargin.lengthen(LIFETIME_MILLIS), slots, requiredBudget);
		this.charges.merge(targetId, added, Charge::plus);
	}

	Set<String> charged() {
		return Set.copyOf(this.charges.keySet());
	}

	boolean charged(String targetId, long nowMillis) {
		Charge charge = this.charges.get(targetId);
		return charge != null && nowMillis < charge.until();
	}

	/**
	 * Returns the least budget with which a target may be ejected without risk to the
	 * floor.
	 * @param target the target
	 * @param nowMillis the current reading of the process clock
	 * @return the budget in slots; {@link #UNAVAILABLE} if the target is charged with a
	 * budget that is too small beside the other charges
	 */
	int requiredBudget(Target target, long nowMillis) {
		this.charges.values().removeIf((charge) -> charge.until() <= nowMillis);
		int required = requiredWithout(Set.of(target.id()), target);
		Charge own = this.charges.get(target.id());
		if (own == null) {
			return required;
		}
		// Some host may hold the charged budget, so a target has no second one.
		return (required <= own.requiredBudget()) ? own.requiredBudget() : UNAVAILABLE;
	}

	/**
	 * Returns whether a target will fit a budget once some charges have ended.
	 * @param ended the targets whose charges have ended by then
	 * @param target the target
	 * @param budget the budget in slots
	 * @return whether it will fit
	 */
	boolean fitsWithout(Set<String> ended, Target target, int budget) {
		Set<String> without = new HashSet<>(ended);
		without.add(target.id());
		return requiredWithout(without, target) <= budget;
	}

	private int requiredWithout(Set<String> ended, Target target) {
		List<Charge> sorted = this.charges.entrySet()
			.stream()
			.filter((entry) -> !ended.contains(entry.getKey()))
			.map(Map.Entry::getValue)
			.sorted(Comparator.comparingInt(Charge::requiredBudget))
			.toList();
		int required = target.slots();
		int used = 0;
		for (int i = 0; i < sorted.size(); i++) {
			used += sorted.get(i).slots();
			int needed = used + target.slots();
			if (needed > sorted.get(i).requiredBudget()) {
				int next = (i + 1 < sorted.size()) ? sorted.get(i + 1).requiredBudget() : needed;
				required = Math.max(required, Math.min(needed, next));
			}
		}
		return required;
	}

	static int budget(List<Target> targets, double floor) {
		return FloorGuard.slots(targets) - FloorGuard.floorSlots(targets, floor);
	}

	/**
	 * The charge of one ejection.
	 *
	 * @param until when the last verdict that carried it has expired everywhere
	 * @param slots the target's slots
	 * @param requiredBudget the least budget, in slots, with which hosts keep it
	 */
	private record Charge(long until, int slots, int requiredBudget) {

		Charge plus(Charge other) {
			boolean unknown = this.slots == UNKNOWN_SLOTS || other.slots == UNKNOWN_SLOTS;
			return new Charge(Math.max(this.until, other.until),
					unknown ? Math.min(this.slots, other.slots) : Math.max(this.slots, other.slots),
					Math.min(this.requiredBudget, other.requiredBudget));
		}

	}

}
