package org.plantainspur.core.health;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.plantainspur.core.routing.Target;
import org.plantainspur.core.time.ClockMargin;

/**
 * The ejections that some host may still hold. Each is charged against the budget until
 * the last verdict that carried it has expired everywhere.
 */
final class EjectionLedger {

	/** Verdicts hold this long, from before the report was sent. */
	static final long LIFETIME_MILLIS = 2500;

	private final Map<String, Long> chargedUntil = new HashMap<>();

	void charge(Collection<String> targetIds, long nowMillis) {
		long until = nowMillis + ClockMargin.lengthen(LIFETIME_MILLIS);
		targetIds.forEach((id) -> this.chargedUntil.merge(id, until, Math::max));
	}

	Set<String> charged(long nowMillis) {
		this.chargedUntil.values().removeIf((until) -> until <= nowMillis);
		return Set.copyOf(this.chargedUntil.keySet());
	}

	/**
	 * Returns whether a target may be ejected without risk to the floor.
	 * @param target the target
	 * @param targets the service's targets that are not leaving
	 * @param floor the floor as a fraction of the slots
	 * @param nowMillis the current reading of the process clock
	 * @return whether the slots of all charged targets and this one fit the budget
	 */
	boolean permits(Target target, List<Target> targets, double floor, long nowMillis) {
		Set<String> charged = charged(nowMillis);
		int used = targets.stream()
			.filter((other) -> other.id().equals(target.id()) || charged.contains(other.id()))
			.mapToInt(Target::slots)
			.sum();
		return used <= budget(targets, floor);
	}

	static int budget(List<Target> targets, double floor) {
		return FloorGuard.slots(targets) - FloorGuard.floorSlots(targets, floor);
	}

}
