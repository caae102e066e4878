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
 * Pools the evidence of all hosts and keeps, for each target, cumulative log-likelihood
 * ratios of failures and of slow answers against its siblings in the same interval. So a
 * fault of the whole service, of an account's requests or of one path is not held against
 * a target.
 */
public final class PooledHealthJudge implements HealthJudge {

	/**
	 * At the least assumed rate of 0.5%, five failures among twelve outcomes. Ten days of
	 * 35 targets with 20 requests/s are 6 * 10^8 outcomes. With 0.2% random failures, the
	 * expected number of such groups among them is 1.2 * 10^6 * 330 * 0.002^4 = 0.006.
	 */
	public static final double THRESHOLD = 18;

	/**
	 * The threshold for a target that was ejected lately: four failures among ten
	 * outcomes. Three copies of a bad request that hit the same target do not suffice.
	 */
	static final double RELAPSE_THRESHOLD = 13;

	/** At this ratio, two failures among eight outcomes, the members report at once. */
	static final double SUSPICION = 6;

	/** Siblings are compared within the same interval. */
	static final long INTERVAL_MILLIS = 500;

	/** How fast the memory of paths and latencies fades; a change must show soon. */
	private static final double RECENT_MILLIS = 2000;

	/** More requests of one account at one host and target are not believed. */
	private static final int MOST_OVERDUE = 1000;

	/** How fast the memory of an account's outcomes fades. */
	private static final double MEMORY_MILLIS = 30_000;

	private final Map<String, TargetCase> cases = new HashMap<>();

	private final Tally<String> interval = new Tally<>();

	private final Tally<String> memory = new Tally<>();

	private final Tally<Path> paths = new Tally<>();

	private final LatencyComparison latencies = new LatencyComparison();

	private long intervalStart = Long.MIN_VALUE;

	@Override
	public void observe(Observation observation) {
		roll(observation.nowMillis());
		TargetCase target = this.cases.computeIfAbsent(observation.target().id(),
				(id) -> new TargetCase(observation.target().region()));
		Path path = new Path(observation.group(), observation.target().region());
		for (PeerMessage.AccountEvidence account : observation.evidence().accounts()) {
			// An overdue request counts as unanswered until it ends. While a target is
			// cold,
			// slowness says nothing.
			int overdue = observation.cold() ? 0 : bounded(account.overdueChange());
			int unanswered = count(account.unanswered()) + count(account.connectFailures()) + overdue;
			int failures = count(account.failures());
			int successes = count(account.successes());
			target.observe(observation, account.accountId(), successes, failures, unanswered);
			this.interval.add(account.accountId(), failures + unanswered, successes);
			this.paths.add(path, failures + unanswered, successes);
		}
		if (!observation.cold()) {
			this.latencies.observe(observation);
		}
	}

	private static int count(int reported) {
		return Math.max(0, reported);
	}

	private static int bounded(int overdueChange) {
		return Math.max(-MOST_OVERDUE, Math.min(MOST_OVERDUE, overdueChange));
	}

	private void roll(long now) {
		if (this.intervalStart == Long.MIN_VALUE) {
			this.intervalStart = now;
		}
		long passed = now - this.intervalStart;
		if (passed < INTERVAL_MILLIS) {
			return;
		}
		Set<String> sick = sickNow();
		Map<TargetCase, List<Map<String, Double>>> evidence = new HashMap<>();
		this.cases.forEach(
				(id, target) -> evidence.put(target, List.of(failureRatios(target, sick), this.latencies.ratios(id))));
		evidence.forEach((target, ratios) -> {
			target.failing.add(ratios.get(0));
			target.slow.add(ratios.get(1));
		});
		double fade = Math.exp(-passed / MEMORY_MILLIS);
		double recentFade = Math.exp(-passed / RECENT_MILLIS);
		this.cases.values().forEach((target) -> target.finishInterval(fade, recentFade));
		this.paths.fade(recentFade);
		this.memory.addAll(this.interval);
		this.memory.fade(fade);
		this.interval.clear();
		this.latencies.finishInterval(recentFade);
		this.intervalStart = now;
	}

	private Set<String> sickNow() {
		Set<String> sick = new HashSet<>();
		this.cases.forEach((id, target) -> {
			if (target.failing.sum() >= target.threshold(this.intervalStart)) {
				sick.add(id);
			}
		});
		return sick;
	}

	// The log-likelihood ratio of the target's outcomes in the running interval, by group
	// of reporters. Targets that are known to be sick do not count as siblings.
	private Map<String, Double> failureRatios(TargetCase target, Set<String> sick) {
		if (target.interval.all() == 0 || (target.interval.bad() == 0 && target.failing.sum() == 0)) {
			return Map.of();
		}
		List<TargetCase> left = new ArrayList<>();
		left.add(target);
		sick.forEach((id) -> {
			TargetCase other = this.cases.get(id);
			if (other != null && other != target) {
				left.add(other);
			}
		});
		Map<String, Double> ratios = new HashMap<>();
		double now = SiblingRates.serviceRate(this.interval, left);
		target.interval.counts().forEach((cell, counts) -> {
			double account = SiblingRates.accountRate(cell.account(), this.interval, this.memory, left);
			double path = SiblingRates.pathRate(new Path(cell.group(), target.region), this.paths, left);
			double rate = LogLikelihood.clamp(Math.max(now, Math.max(account, path)));
			ratios.merge(cell.group(),
					LogLikelihood.ratio(counts[0], counts[1] - counts[0], rate, LogLikelihood.sickRate(rate)),
					Double::sum);
		});
		return ratios;
	}

	@Override
	public Assessment assess(String targetId) {
		TargetCase target = this.cases.get(targetId);
		if (target == null) {
			return Assessment.HEALTHY;
		}
		Map<String, Double> failing = failureRatios(target, sickNow());
		Map<String, Double> slow = this.latencies.ratios(targetId);
		Assessment byFailures = assess(target.failing, failing, "failures", target.threshold(this.intervalStart));
		Assessment bySlowness = assess(target.slow, slow, "slow answers", THRESHOLD);
		if (byFailures.sick() || (!bySlowness.sick() && byFailures.sickness() >= bySlowness.sickness())) {
			return byFailures;
		}
		return bySlowness;
	}

	private static Assessment assess(SequentialTest test, Map<String, Double> current, String kind, double threshold) {
		double sum = test.sumWith(current);
		if (sum < threshold) {
			return (sum > 0) ? new Assessment(false, sum, Set.of(), "") : Assessment.HEALTHY;
		}
		Set<String> avoidedBy = test.failingAgainstOthers(current);
		boolean cut = !avoidedBy.isEmpty() || test.suggestsCutPath();
		String reason = kind + " against siblings, log-likelihood ratio " + Math.round(sum)
				+ (cut ? ", seen from some hosts only" : "");
		return new Assessment(!cut, sum, avoidedBy, reason);
	}

	@Override
	public boolean suspects(String targetId) {
		TargetCase target = this.cases.get(targetId);
		return target != null && target.failing.sumWith(failureRatios(target, sickNow())) >= SUSPICION;
	}

	@Override
	public void readmitted(String targetId) {
		TargetCase target = this.cases.get(targetId);
		if (target != null) {
			target.readmittedAt = this.intervalStart;
			// Right after its return a relapse is found with half the evidence.
			target.failing.restart(RELAPSE_THRESHOLD - THRESHOLD / 2);
			target.slow.restart(0);
		}
	}

	@Override
	public void retain(Collection<String> targetIds) {
		this.cases.keySet().retainAll(targetIds);
		this.latencies.retain(targetIds);
	}

	/**
	 * Outcomes of an account seen by a group of reporters.
	 *
	 * @param account the account
	 * @param group the reporters' failure domain
	 */
	record Cell(String account, String group) {
	}

	/**
	 * The way from a group of reporters to the targets in a region.
	 *
	 * @param group the reporters' failure domain
	 * @param region the targets' region
	 */
	record Path(String group, String region) {
	}

	/**
	 * The evidence on one target.
	 */
	static final class TargetCase {

		final String region;

		final SequentialTest failing = new SequentialTest();

		final SequentialTest slow = new SequentialTest();

		final Tally<Cell> interval = new Tally<>();

		final Tally<Path> byPath = new Tally<>();

		final Tally<String> byAccount = new Tally<>();

		final Tally<String> memory = new Tally<>();

		long readmittedAt = Long.MIN_VALUE;

		TargetCase(String region) {
			this.region = region;
		}

		void observe(Observation observation, String account, int successes, int failures, int unanswered) {
			this.interval.add(new Cell(account, observation.group()), failures + unanswered, successes);
			this.byPath.add(new Path(observation.group(), this.region), failures + unanswered, successes);
			this.byAccount.add(account, failures + unanswered, successes);
			this.failing.saw(observation.reporter(), successes + failures, failures, unanswered);
		}

		double threshold(long nowMillis) {
			boolean lately = this.readmittedAt != Long.MIN_VALUE
					&& nowMillis - this.readmittedAt < EjectionState.RELAPSE_MILLIS;
			return lately ? RELAPSE_THRESHOLD : THRESHOLD;
		}

		void finishInterval(double fade, double recentFade) {
			this.byPath.fade(recentFade);
			this.memory.addAll(this.byAccount);
			this.memory.fade(fade);
			this.interval.clear();
			this.byAccount.clear();
		}

	}

}
