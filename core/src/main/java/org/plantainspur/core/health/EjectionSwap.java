package org.plantainspur.core.health;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.routing.Target;
import org.plantainspur.core.time.ClockMargin;

/**
 * Releases ejected targets when the ejection budget is full and another unhealthy target
 * has a clearly higher failure rate. The released targets stay charged until no host
 * holds their ejection; only then does the other target fit the budget. Until then
 * nothing else is ejected.
 */
final class EjectionSwap {

	/**
	 * The minimum difference in failure rate between the target to eject and each target
	 * to release. Even among few outcomes, chance rarely causes so large a difference.
	 */
	static final double MIN_RATE_DIFFERENCE = 0.25;

	/**
	 * How long after its release a target causes no swap, so that targets do not replace
	 * each other in turn.
	 */
	static final long SWAP_COOLDOWN_MILLIS = 60_000;

	/**
	 * How long the budget is reserved for the target to eject. This is two verdict
	 * lifetimes: a verdict in transit at the release is held for up to one, and the last
	 * report that contains it charges the ejection for another.
	 */
	private static final long PENDING_TIMEOUT_MILLIS = ClockMargin.lengthen(2 * EjectionBudget.VERDICT_LIFETIME_MILLIS);

	private final RecentFailureRates failureRates;

	private final EjectionBudget ejectionBudget;

	private final Map<String, Long> releasedAt = new HashMap<>();

	private @Nullable String pendingTargetId;

	private long pendingUntil;

	EjectionSwap(RecentFailureRates failureRates, EjectionBudget ejectionBudget) {
		this.failureRates = failureRates;
		this.ejectionBudget = ejectionBudget;
	}

	/**
	 * Cancels a pending swap that has timed out or whose target is no longer unhealthy,
	 * and ends the cooldown of released targets after {@link #SWAP_COOLDOWN_MILLIS}.
	 * @param stillUnhealthy tells by target id whether a target is unhealthy, not leaving
	 * and not ejected
	 * @param nowMillis the current reading of the process clock in milliseconds
	 */
	void expirePending(Predicate<String> stillUnhealthy, long nowMillis) {
		if (this.pendingTargetId != null
				&& (nowMillis >= this.pendingUntil || !stillUnhealthy.test(this.pendingTargetId))) {
			this.pendingTargetId = null;
		}
		this.releasedAt.values().removeIf((at) -> nowMillis - at >= SWAP_COOLDOWN_MILLIS);
	}

	boolean permitsEjectionOf(String targetId) {
		return this.pendingTargetId == null || this.pendingTargetId.equals(targetId);
	}

	void recordEjection(String targetId) {
		if (targetId.equals(this.pendingTargetId)) {
			this.pendingTargetId = null;
		}
	}

	/**
	 * Selects the ejected targets to release.
	 * @param overBudget unhealthy targets that do not fit the budget
	 * @param ejected the ejected targets that may be released
	 * @param expiring the ids of charged targets that are no longer ejected
	 * @param budget the budget in slots
	 * @param nowMillis the current reading of the process clock in milliseconds
	 * @return the targets to release; empty if there is no swap
	 */
	List<Target> release(List<Target> overBudget, List<Target> ejected, Set<String> expiring, int budget,
			long nowMillis) {
		Target worstOverBudget = overBudget.stream()
			.filter((target) -> !Double.isNaN(this.failureRates.rate(target.id()))
					&& !this.releasedAt.containsKey(target.id()))
			.max(Comparator.comparingDouble((Target target) -> this.failureRates.rate(target.id()))
				.thenComparing(Target::id))
			.orElse(null);
		if (this.pendingTargetId != null || worstOverBudget == null
				|| this.ejectionBudget.fitsWithout(expiring, worstOverBudget, budget)) {
			return List.of();
		}
		double highestReleasableRate = this.failureRates.rate(worstOverBudget.id()) - MIN_RATE_DIFFERENCE;
		List<Target> released = new ArrayList<>(ejected.stream()
			.filter((target) -> this.failureRates.rate(target.id()) <= highestReleasableRate)
			.toList());
		if (!fits(worstOverBudget, released, expiring, budget)) {
			return List.of();
		}
		// The targets that fail most stay ejected if releasing the others is enough.
		released.sort(Comparator.comparingDouble((Target target) -> -this.failureRates.rate(target.id()))
			.thenComparing(Target::id));
		for (Target target : List.copyOf(released)) {
			List<Target> withoutTarget = released.stream().filter((other) -> other != target).toList();
			if (fits(worstOverBudget, withoutTarget, expiring, budget)) {
				released.remove(target);
			}
		}
		released.forEach((target) -> this.releasedAt.put(target.id(), nowMillis));
		this.pendingTargetId = worstOverBudget.id();
		this.pendingUntil = nowMillis + PENDING_TIMEOUT_MILLIS;
		return released;
	}

	private boolean fits(Target target, List<Target> released, Set<String> expiring, int budget) {
		Set<String> without = new HashSet<>(expiring);
		released.forEach((other) -> without.add(other.id()));
		return this.ejectionBudget.fitsWithout(without, target, budget);
	}

}
