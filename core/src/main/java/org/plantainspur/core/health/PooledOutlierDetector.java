package org.plantainspur.core.health;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.plantainspur.core.peer.PeerMessage;

/**
 * Combines the reports of all hosts. For each target it keeps two cumulative
 * log-likelihood ratios, one for failures and one for slow answers, each relative to the
 * sibling targets in the same interval. So a fault of the whole service, of one account's
 * requests or of one network path does not count against a target.
 */
public final class PooledOutlierDetector implements OutlierDetector {

	/**
	 * The log-likelihood ratio from which a target is unhealthy. At the minimum assumed
	 * failure rate of 0.5%, five failures among twelve outcomes reach it. Random failures
	 * almost never do: with 0.2% of them among the 6 * 10^8 outcomes of ten days, at 35
	 * targets with 20 requests/s each, the expected number of failures that are followed
	 * by four more among the next eleven outcomes is 1.2 * 10^6 * 330 * 0.002^4 = 0.006.
	 */
	public static final double THRESHOLD = 18;

	/**
	 * The threshold for a recently readmitted target; four failures among ten outcomes
	 * reach it. Three copies of an invalid request on the same target do not.
	 */
	static final double RELAPSE_THRESHOLD = 13;

	/**
	 * The ratio from which all members are asked to report at once; two failures among
	 * eight outcomes reach it.
	 */
	static final double REPORT_NOW_THRESHOLD = 6;

	/** The length of the interval within which a target is compared with its siblings. */
	static final long INTERVAL_MILLIS = 500;

	/**
	 * The decay time constant of the outcomes by path and of latencies; short, so that a
	 * change shows within seconds.
	 */
	private static final double RECENT_DECAY_MILLIS = 2000;

	/**
	 * The largest accepted change of overdue requests per account, host and target, which
	 * bounds the effect of an invalid report.
	 */
	private static final int MAX_OVERDUE_CHANGE = 1000;

	/** The decay time constant of the outcomes by account. */
	private static final double HISTORY_DECAY_MILLIS = 30_000;

	private final Map<String, TargetHistory> targets = new HashMap<>();

	// The outcomes of all targets by account in the current interval.
	private final OutcomeCounts<String> interval = new OutcomeCounts<>();

	// The decayed outcomes of all targets by account in finished intervals.
	private final OutcomeCounts<String> history = new OutcomeCounts<>();

	// The decayed outcomes of all targets by path, including the current interval.
	private final OutcomeCounts<Path> paths = new OutcomeCounts<>();

	private final LatencyComparison latencies = new LatencyComparison();

	private long intervalStart = Long.MIN_VALUE;

	@Override
	public void observe(Observation observation) {
		finishIntervalIfElapsed(observation.nowMillis());
		TargetHistory target = this.targets.computeIfAbsent(observation.target().id(),
				(id) -> new TargetHistory(observation.target().region()));
		Path path = new Path(observation.reporterDomain(), observation.target().region());
		for (PeerMessage.AccountEvidence account : observation.evidence().accounts()) {
			// An overdue request counts as unanswered until it ends. While a target warms
			// up, slow answers are no evidence.
			int overdue = observation.warmingUp() ? 0 : limitedOverdueChange(account.overdueChange());
			int unanswered = nonNegative(account.unanswered()) + nonNegative(account.connectFailures()) + overdue;
			int failures = nonNegative(account.failures());
			int successes = nonNegative(account.successes());
			target.observe(observation, account.accountId(), successes, failures, unanswered);
			this.interval.add(account.accountId(), failures + unanswered, successes);
			this.paths.add(path, failures + unanswered, successes);
		}
		if (!observation.warmingUp()) {
			this.latencies.observe(observation);
		}
	}

	private static int nonNegative(int reported) {
		return Math.max(0, reported);
	}

	private static int limitedOverdueChange(int overdueChange) {
		return Math.max(-MAX_OVERDUE_CHANGE, Math.min(MAX_OVERDUE_CHANGE, overdueChange));
	}

	private void finishIntervalIfElapsed(long now) {
		if (this.intervalStart == Long.MIN_VALUE) {
			this.intervalStart = now;
		}
		long elapsed = now - this.intervalStart;
		if (elapsed < INTERVAL_MILLIS) {
			return;
		}
		Set<String> unhealthy = unhealthyTargets();
		// The ratios of failures and of slow answers, in this order.
		Map<TargetHistory, List<Map<String, Double>>> ratiosByTarget = new HashMap<>();
		this.targets.forEach((id, target) -> ratiosByTarget.put(target,
				List.of(failureRatios(target, unhealthy), this.latencies.ratios(id))));
		ratiosByTarget.forEach((target, ratios) -> {
			target.failureTest.add(ratios.get(0));
			target.latencyTest.add(ratios.get(1));
		});
		double decay = Math.exp(-elapsed / HISTORY_DECAY_MILLIS);
		double recentDecay = Math.exp(-elapsed / RECENT_DECAY_MILLIS);
		this.targets.values().forEach((target) -> target.finishInterval(decay, recentDecay));
		this.paths.decay(recentDecay);
		this.history.addAll(this.interval);
		this.history.decay(decay);
		this.interval.clear();
		this.latencies.finishInterval(recentDecay);
		this.intervalStart = now;
	}

	private Set<String> unhealthyTargets() {
		Set<String> unhealthy = new HashSet<>();
		this.targets.forEach((id, target) -> {
			if (target.failureTest.sum() >= target.threshold(this.intervalStart)) {
				unhealthy.add(id);
			}
		});
		return unhealthy;
	}

	// Computes the log-likelihood ratio of the target's outcomes in the current interval
	// by the reporters' failure domain. Targets already known to be unhealthy are
	// excluded from the siblings.
	private Map<String, Double> failureRatios(TargetHistory target, Set<String> unhealthy) {
		if (target.interval.total() == 0 || (target.interval.failures() == 0 && target.failureTest.sum() == 0)) {
			return Map.of();
		}
		List<TargetHistory> excluded = new ArrayList<>();
		excluded.add(target);
		unhealthy.forEach((id) -> {
			TargetHistory other = this.targets.get(id);
			if (other != null && other != target) {
				excluded.add(other);
			}
		});
		Map<String, Double> ratios = new HashMap<>();
		double serviceRate = SiblingRates.serviceRate(this.interval, excluded);
		target.interval.counts().forEach((accountAndDomain, counts) -> {
			double accountRate = SiblingRates.accountRate(accountAndDomain.account(), this.interval, this.history,
					excluded);
			double pathRate = SiblingRates.pathRate(new Path(accountAndDomain.domain(), target.region), this.paths,
					excluded);
			double rate = LogLikelihood.clamp(Math.max(serviceRate, Math.max(accountRate, pathRate)));
			ratios.merge(accountAndDomain.domain(),
					LogLikelihood.ratio(counts[0], counts[1] - counts[0], rate, LogLikelihood.unhealthyRate(rate)),
					Double::sum);
		});
		return ratios;
	}

	@Override
	public Assessment assess(String targetId) {
		TargetHistory target = this.targets.get(targetId);
		if (target == null) {
			return Assessment.HEALTHY;
		}
		Map<String, Double> currentFailures = failureRatios(target, unhealthyTargets());
		Map<String, Double> currentSlowness = this.latencies.ratios(targetId);
		Assessment byFailures = assess(target.failureTest, currentFailures, "failures",
				target.threshold(this.intervalStart));
		Assessment bySlowness = assess(target.latencyTest, currentSlowness, "slow answers", THRESHOLD);
		if (byFailures.unhealthy() || (!bySlowness.unhealthy() && byFailures.severity() >= bySlowness.severity())) {
			return byFailures;
		}
		return bySlowness;
	}

	private static Assessment assess(SequentialTest test, Map<String, Double> currentInterval, String evidenceKind,
			double threshold) {
		double sum = test.sumIncluding(currentInterval);
		if (sum < threshold) {
			return (sum > 0) ? new Assessment(false, sum, Set.of(), "") : Assessment.HEALTHY;
		}
		Set<String> avoidedBy = test.locallyFailingDomains(currentInterval);
		boolean pathFault = !avoidedBy.isEmpty() || test.suggestsPathFault();
		String reason = evidenceKind + " against siblings, log-likelihood ratio " + Math.round(sum)
				+ (pathFault ? ", seen from some hosts only" : "");
		return new Assessment(!pathFault, sum, avoidedBy, reason);
	}

	@Override
	public boolean nearThreshold(String targetId) {
		TargetHistory target = this.targets.get(targetId);
		return target != null
				&& target.failureTest.sumIncluding(failureRatios(target, unhealthyTargets())) >= REPORT_NOW_THRESHOLD;
	}

	@Override
	public void readmitted(String targetId) {
		TargetHistory target = this.targets.get(targetId);
		if (target != null) {
			target.readmittedAt = this.intervalStart;
			// A further sum of THRESHOLD / 2 reaches RELAPSE_THRESHOLD.
			target.failureTest.reset(RELAPSE_THRESHOLD - THRESHOLD / 2);
			target.latencyTest.reset(0);
		}
	}

	@Override
	public void retain(Collection<String> targetIds) {
		this.targets.keySet().retainAll(targetIds);
		this.latencies.retain(targetIds);
	}

	/**
	 * Key of the outcomes of one account's requests, as seen from one failure domain.
	 *
	 * @param account the client account's id
	 * @param domain the reporters' failure domain
	 */
	record AccountAndDomain(String account, String domain) {
	}

	/**
	 * Key of the network path from the hosts of a failure domain to the targets of a
	 * region.
	 *
	 * @param domain the reporters' failure domain
	 * @param region the targets' region
	 */
	record Path(String domain, String region) {
	}

	/**
	 * The evidence collected on one target. The counts are those of this target alone;
	 * {@code interval} and {@code byAccount} cover the current interval, {@code byPath}
	 * and {@code history} decay.
	 */
	static final class TargetHistory {

		final String region;

		final SequentialTest failureTest = new SequentialTest();

		final SequentialTest latencyTest = new SequentialTest();

		final OutcomeCounts<AccountAndDomain> interval = new OutcomeCounts<>();

		final OutcomeCounts<Path> byPath = new OutcomeCounts<>();

		final OutcomeCounts<String> byAccount = new OutcomeCounts<>();

		final OutcomeCounts<String> history = new OutcomeCounts<>();

		long readmittedAt = Long.MIN_VALUE;

		TargetHistory(String region) {
			this.region = region;
		}

		void observe(Observation observation, String account, int successes, int failures, int unanswered) {
			this.interval.add(new AccountAndDomain(account, observation.reporterDomain()), failures + unanswered,
					successes);
			this.byPath.add(new Path(observation.reporterDomain(), this.region), failures + unanswered, successes);
			this.byAccount.add(account, failures + unanswered, successes);
			this.failureTest.recordOutcomes(observation.reporterProcessId(), successes + failures, failures,
					unanswered);
		}

		double threshold(long nowMillis) {
			boolean recentlyReadmitted = this.readmittedAt != Long.MIN_VALUE
					&& nowMillis - this.readmittedAt < EjectionState.RELAPSE_WINDOW_MILLIS;
			return recentlyReadmitted ? RELAPSE_THRESHOLD : THRESHOLD;
		}

		void finishInterval(double decay, double recentDecay) {
			this.byPath.decay(recentDecay);
			this.history.addAll(this.byAccount);
			this.history.decay(decay);
			this.interval.clear();
			this.byAccount.clear();
		}

	}

}
