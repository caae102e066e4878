package org.plantainspur.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;

import org.plantainspur.core.desired.AccountRule;

/**
 * This host's estimate of the level of one account's token bucket, which all hosts share.
 * Requests take from it at once; what other hosts take is predicted from the rates that
 * they report, and corrected by the counts in their next reports.
 */
final class FleetBucket {

	static final double NOT_TAKEN = -1;

	/** Hosts report this often while an account presses on its limit. */
	private static final double REPORT_SECONDS = 0.15;

	/** The rest of the bucket serves the account's bursts. */
	private static final double LARGEST_RESERVE = 0.3;

	/**
	 * What was passed on beyond the bucket is repaid by refusing the account; a large
	 * debt would refuse it for seconds in which it is owed its rate.
	 */
	private static final double LARGEST_DEBT = 0.5;

	private static final double THOUSAND = 1_000;

	private final AtomicReference<State> state;

	/** Used by the reporting thread only, like the sources. */
	private boolean countsOthers;

	private final Map<String, Source> sources = new HashMap<>();

	FleetBucket(AccountRule rule, long now) {
		this.state = new AtomicReference<>(new State(Math.max(1, rule.burst()), now, 0));
	}

	/**
	 * Takes a token.
	 * @param rule the account
	 * @param now the reading of the clock
	 * @return the part of the bucket that is still full, or a negative number if no token
	 * could be taken
	 */
	double tryTake(AccountRule rule, long now) {
		State before = this.state.get();
		while (true) {
			State filled = before.at(now, rule);
			double largest = Math.max(1, rule.burst());
			if (filled.level() < 1 + filled.reserve(rule)) {
				return NOT_TAKEN;
			}
			if (this.state.compareAndSet(before, filled.plus(-1))) {
				return Math.max(0, filled.level() - 1) / largest;
			}
			before = this.state.get();
		}
	}

	// A source is a host, or a failure domain with the host that counts for it.
	void reported(AccountRule rule, String name, Usage usage, long now) {
		Source before = this.sources.get(name);
		double correction = 0;
		if (before != null && usage.count() >= before.usage().count()) {
			double predicted = before.usage().ratePerSecond() * Math.max(0, now - before.atMs()) / THOUSAND;
			correction = predicted - (usage.count() - before.usage().count());
		}
		this.sources.put(name, new Source(usage, now));
		update(rule, correction, now);
	}

	// Begins to count what the others use; before, this host kept to a part of its own.
	void countOthers(AccountRule rule, long now) {
		if (!this.countsOthers) {
			this.countsOthers = true;
			update(rule, 0, now);
			this.state.updateAndGet((before) -> before.plus(before.reserve(rule)));
		}
	}

	void retain(AccountRule rule, Predicate<String> counts, long now) {
		if (this.sources.keySet().removeIf(counts.negate())) {
			update(rule, 0, now);
		}
	}

	private void update(AccountRule rule, double correction, long now) {
		double others = this.countsOthers
				? this.sources.values().stream().mapToDouble((source) -> source.usage().ratePerSecond()).sum() : 0;
		double applied = this.countsOthers ? correction : 0;
		this.state.updateAndGet((before) -> {
			State filled = before.at(now, rule).plus(applied);
			return new State(filled.level(), now, others);
		});
	}

	private record State(double level, long atMs, double othersRate) {

		State at(long now, AccountRule rule) {
			double seconds = Math.max(0, now - this.atMs) / THOUSAND;
			double largest = Math.max(1, rule.burst());
			double refilled = this.level + seconds * (rule.ratePerSecond() - this.othersRate);
			return new State(Math.max(-LARGEST_DEBT * largest, Math.min(largest, refilled)), Math.max(now, this.atMs),
					this.othersRate);
		}

		// What the others take before they are heard again.
		double reserve(AccountRule rule) {
			return Math.min(Math.max(1, rule.burst()) * LARGEST_RESERVE, this.othersRate * REPORT_SECONDS);
		}

		State plus(double tokens) {
			return new State(this.level + tokens, this.atMs, this.othersRate);
		}

	}

	private record Source(Usage usage, long atMs) {
	}

}
