package org.plantainspur.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;

import org.plantainspur.core.desired.AccountRule;

/**
 * This host's estimate of the level of one account's token bucket, which all hosts share.
 * Requests of this host take their tokens immediately; the tokens that other hosts take
 * are predicted from their reported rates and corrected by the counts in their next
 * reports. Any thread may take tokens; only one thread may call the other methods.
 */
final class EstimatedTokenBucket {

	/** Returned by {@link #tryTake} if no token was taken. */
	static final double NOT_TAKEN = -1;

	/**
	 * The interval of reports while an account is near its limit. The tokens that other
	 * hosts are expected to take in this time are reserved for them.
	 */
	private static final double REPORT_INTERVAL_SECONDS = 0.15;

	/**
	 * The largest fraction of the bucket that is reserved for other hosts; the rest
	 * serves the account's bursts.
	 */
	private static final double MAX_RESERVE_RATIO = 0.3;

	/**
	 * The largest debt as a fraction of the bucket. Requests admitted beyond the bucket
	 * are compensated by refusing later ones; a larger debt would refuse an account for
	 * seconds although its rate allows requests.
	 */
	private static final double MAX_DEBT_RATIO = 0.5;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final AtomicReference<State> state;

	/** Whether the usage of other hosts is subtracted. Accessed by one thread only. */
	private boolean includesRemoteUsage;

	/** The last report of each source, by its name. Accessed by the same thread. */
	private final Map<String, Source> sources = new HashMap<>();

	EstimatedTokenBucket(AccountRule rule, long nowMs) {
		this.state = new AtomicReference<>(new State(Math.max(1, rule.burst()), nowMs, 0));
	}

	/**
	 * Takes one token if the level exceeds the reserve for other hosts.
	 * @param rule the account's rate and burst
	 * @param nowMs the clock's current reading in milliseconds
	 * @return the remaining fraction of the bucket, from 0 to 1, or {@link #NOT_TAKEN}
	 */
	double tryTake(AccountRule rule, long nowMs) {
		State previous = this.state.get();
		while (true) {
			State filled = previous.refilledAt(nowMs, rule);
			double capacity = Math.max(1, rule.burst());
			if (filled.level() < 1 + filled.reserve(rule)) {
				return NOT_TAKEN;
			}
			if (this.state.compareAndSet(previous, filled.plus(-1))) {
				return Math.max(0, filled.level() - 1) / capacity;
			}
			previous = this.state.get();
		}
	}

	// A source is a host of this failure domain, or the host that reports the totals of
	// another failure domain.
	void recordRemoteUsage(AccountRule rule, String source, AccountUsage usage, long nowMs) {
		Source previous = this.sources.get(source);
		double correction = 0;
		if (previous != null && usage.count() >= previous.usage().count()) {
			double predicted = previous.usage().ratePerSecond() * Math.max(0, nowMs - previous.reportedMs())
					/ MILLIS_PER_SECOND;
			correction = predicted - (usage.count() - previous.usage().count());
		}
		this.sources.put(source, new Source(usage, nowMs));
		adjust(rule, correction, nowMs);
	}

	// Begins to subtract the usage of other hosts. Until then, this host was limited to
	// its initial share of the rate instead.
	void includeRemoteUsage(AccountRule rule, long nowMs) {
		if (!this.includesRemoteUsage) {
			this.includesRemoteUsage = true;
			adjust(rule, 0, nowMs);
			this.state.updateAndGet((previous) -> previous.plus(previous.reserve(rule)));
		}
	}

	// Drops the usage of the sources that are no longer active.
	void retainSources(AccountRule rule, Predicate<String> active, long nowMs) {
		if (this.sources.keySet().removeIf(active.negate())) {
			adjust(rule, 0, nowMs);
		}
	}

	private void adjust(AccountRule rule, double correction, long nowMs) {
		double remoteRate = this.includesRemoteUsage
				? this.sources.values().stream().mapToDouble((source) -> source.usage().ratePerSecond()).sum() : 0;
		double applied = this.includesRemoteUsage ? correction : 0;
		this.state.updateAndGet((previous) -> {
			State filled = previous.refilledAt(nowMs, rule).plus(applied);
			return new State(filled.level(), nowMs, remoteRate);
		});
	}

	private record State(double level, long updatedMs, double remoteRate) {

		State refilledAt(long nowMs, AccountRule rule) {
			double seconds = Math.max(0, nowMs - this.updatedMs) / MILLIS_PER_SECOND;
			double capacity = Math.max(1, rule.burst());
			double refilled = this.level + seconds * (rule.ratePerSecond() - this.remoteRate);
			return new State(Math.max(-MAX_DEBT_RATIO * capacity, Math.min(capacity, refilled)),
					Math.max(nowMs, this.updatedMs), this.remoteRate);
		}

		// The tokens that other hosts take until their next reports.
		double reserve(AccountRule rule) {
			return Math.min(Math.max(1, rule.burst()) * MAX_RESERVE_RATIO, this.remoteRate * REPORT_INTERVAL_SECONDS);
		}

		State plus(double tokens) {
			return new State(this.level + tokens, this.updatedMs, this.remoteRate);
		}

	}

	private record Source(AccountUsage usage, long reportedMs) {
	}

}
