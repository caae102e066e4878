package org.plantainspur.core.health;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The cumulative log-likelihood ratio of one target and one kind of evidence. It starts
 * anew whenever it falls to zero, and remembers by reporters' group and by reporter what
 * was seen since then, to tell a sick target from a cut path.
 */
final class SequentialTest {

	/** Bounds how long a target that has recovered still looks sick. */
	private static final double LARGEST_SUM = PooledHealthJudge.THRESHOLD + 5;

	/** About five answers without a failure: the group does not see what others see. */
	private static final double GROUP_CONTRADICTS = -1.5;

	private static final double LEAST_GROUP_SUM = -20;

	/** Odds of e:1 for a cut path are enough to wait for more evidence. */
	private static final double CUT_PATH_SUSPECTED = 1;

	private static final double CUT_PATH_RATE = 0.98;

	private double sum;

	private final Map<String, Double> groups = new HashMap<>();

	private final Map<String, PathCounts> reporters = new HashMap<>();

	private int failures;

	private int pathFailures;

	double sum() {
		return this.sum;
	}

	void restart(double suspicion) {
		this.sum = suspicion;
		this.groups.clear();
		this.reporters.clear();
		this.failures = 0;
		this.pathFailures = 0;
	}

	/**
	 * Adds the evidence of a finished interval.
	 * @param byGroup the log-likelihood ratio by reporters' group
	 */
	void add(Map<String, Double> byGroup) {
		double next = this.sum + total(byGroup);
		if (next <= 0) {
			restart(0);
			return;
		}
		this.sum = Math.min(LARGEST_SUM, next);
		byGroup.forEach((group, ratio) -> this.groups.merge(group, ratio,
				(old, added) -> Math.max(LEAST_GROUP_SUM, Math.min(LARGEST_SUM, old + added))));
	}

	void saw(String reporter, int answered, int answeredFailures, int unanswered) {
		if (this.sum == 0 && answeredFailures + unanswered == 0 && this.reporters.isEmpty()) {
			return;
		}
		this.failures += answeredFailures + unanswered;
		this.pathFailures += unanswered;
		this.reporters.merge(reporter, new PathCounts(answered, Math.max(0, unanswered)),
				(old, added) -> old.plus(answered, unanswered));
	}

	double sumWith(Map<String, Double> current) {
		return Math.max(0, this.sum + total(current));
	}

	/**
	 * Returns the groups that fail while another group, with the same target, does not.
	 * @param current the log-likelihood ratio of the running interval by group
	 * @return the failing groups; empty if no group contradicts them
	 */
	Set<String> failingAgainstOthers(Map<String, Double> current) {
		Map<String, Double> all = new HashMap<>(this.groups);
		current.forEach((group, ratio) -> all.merge(group, ratio, Double::sum));
		boolean contradicted = all.values().stream().anyMatch((ratio) -> ratio <= GROUP_CONTRADICTS);
		if (!contradicted) {
			return Set.of();
		}
		return all.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() > 0)
			.map(Map.Entry::getKey)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Returns whether unanswered requests are concentrated on some reporters: each of
	 * them loses all or none, as with a cut path, instead of each losing some.
	 * @return whether a cut path explains the evidence better than a sick target
	 */
	boolean suggestsCutPath() {
		if (this.pathFailures * 2 < this.failures || this.reporters.size() < 2) {
			return false;
		}
		double lost = 0;
		double all = 0;
		double cutReporters = 0;
		for (PathCounts counts : this.reporters.values()) {
			lost += counts.unanswered();
			all += counts.unanswered() + counts.answered();
			cutReporters += (counts.unanswered() > counts.answered()) ? 1 : 0;
		}
		double rate = Math.min(CUT_PATH_RATE, (lost + LogLikelihood.LEAST_RATE) / (all + 1));
		double share = (cutReporters + 0.5) / (this.reporters.size() + 1);
		double ratio = 0;
		for (PathCounts counts : this.reporters.values()) {
			ratio += Math
				.log(share * counts.likelihood(CUT_PATH_RATE)
						+ (1 - share) * counts.likelihood(LogLikelihood.LEAST_RATE))
					- Math.log(counts.likelihood(rate));
		}
		return ratio > CUT_PATH_SUSPECTED;
	}

	private static double total(Map<String, Double> byGroup) {
		double total = 0;
		for (double ratio : byGroup.values()) {
			total += ratio;
		}
		return total;
	}

	private record PathCounts(int answered, int unanswered) {

		// Overdue requests that have ended are taken back, so unanswered may be negative.
		PathCounts plus(int moreAnswered, int moreUnanswered) {
			return new PathCounts(Math.min(1000, this.answered + moreAnswered),
					Math.max(0, Math.min(1000, this.unanswered + moreUnanswered)));
		}

		double likelihood(double rate) {
			return Math.max(Double.MIN_NORMAL, Math.pow(rate, this.unanswered) * Math.pow(1 - rate, this.answered));
		}

	}

}
