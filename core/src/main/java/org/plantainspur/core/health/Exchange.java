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
 * Gives ejected targets back for one that fails clearly more, if the budget is full. The
 * given-back targets stay charged until no host holds their ejection; only then does the
 * other target fit the budget. Until then nothing else is ejected.
 */
final class Exchange {

	/**
	 * A difference in the share of failures that chance in a few outcomes rarely makes.
	 */
	static final double MARGIN = 0.25;

	/** A target that was given back takes no other one's place for this long. */
	static final long REST_MILLIS = 60_000;

	/** Long enough for two verdicts to expire, one of which was under way. */
	private static final long WAIT_MILLIS = ClockMargin.lengthen(2 * EjectionLedger.LIFETIME_MILLIS);

	private final FailureShares shares;

	private final EjectionLedger ledger;

	private final Map<String, Long> givenBackAt = new HashMap<>();

	private @Nullable String waiting;

	private long waitsUntil;

	Exchange(FailureShares shares, EjectionLedger ledger) {
		this.shares = shares;
		this.ledger = ledger;
	}

	/**
	 * Ends a wait that has lasted too long or has no reason any more.
	 * @param stillSick whether a target is sick, stays and is not ejected
	 * @param nowMillis the current reading of the process clock
	 */
	void review(Predicate<String> stillSick, long nowMillis) {
		if (this.waiting != null && (nowMillis >= this.waitsUntil || !stillSick.test(this.waiting))) {
			this.waiting = null;
		}
		this.givenBackAt.values().removeIf((at) -> nowMillis - at >= REST_MILLIS);
	}

	boolean permits(String targetId) {
		return this.waiting == null || this.waiting.equals(targetId);
	}

	void ejected(String targetId) {
		if (targetId.equals(this.waiting)) {
			this.waiting = null;
		}
	}

	/**
	 * Chooses the ejected targets to give back.
	 * @param rejected sick targets that do not fit the budget
	 * @param ejected the ejected targets that may be given back
	 * @param ending charged targets that are not ejected any more
	 * @param budget the budget in slots
	 * @param nowMillis the current reading of the process clock
	 * @return the targets to give back, mostly none
	 */
	List<Target> giveBack(List<Target> rejected, List<Target> ejected, Set<String> ending, int budget, long nowMillis) {
		Target worst = rejected.stream()
			.filter((target) -> !Double.isNaN(this.shares.share(target.id()))
					&& !this.givenBackAt.containsKey(target.id()))
			.max(Comparator.comparingDouble((Target target) -> this.shares.share(target.id()))
				.thenComparing(Target::id))
			.orElse(null);
		if (this.waiting != null || worst == null || this.ledger.fitsWithout(ending, worst, budget)) {
			return List.of();
		}
		double most = this.shares.share(worst.id()) - MARGIN;
		List<Target> back = new ArrayList<>(
				ejected.stream().filter((target) -> this.shares.share(target.id()) <= most).toList());
		if (!fits(worst, back, ending, budget)) {
			return List.of();
		}
		// Those that fail most are kept, as far as the others suffice.
		back.sort(Comparator.comparingDouble((Target target) -> -this.shares.share(target.id()))
			.thenComparing(Target::id));
		for (Target target : List.copyOf(back)) {
			List<Target> fewer = back.stream().filter((other) -> other != target).toList();
			if (fits(worst, fewer, ending, budget)) {
				back.remove(target);
			}
		}
		back.forEach((target) -> this.givenBackAt.put(target.id(), nowMillis));
		this.waiting = worst.id();
		this.waitsUntil = nowMillis + WAIT_MILLIS;
		return back;
	}

	private boolean fits(Target target, List<Target> back, Set<String> ending, int budget) {
		Set<String> without = new HashSet<>(ending);
		back.forEach((other) -> without.add(other.id()));
		return this.ledger.fitsWithout(without, target, budget);
	}

}
