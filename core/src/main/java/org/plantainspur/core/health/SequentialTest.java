package org.plantainspur.core.health;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A sequential test on one target and one kind of evidence (failures or slow answers). It
 * sums log-likelihood ratios and resets when the sum falls to zero. Since the last reset
 * it also keeps the evidence by failure domain and by reporter, to tell an unhealthy
 * target from a network path that fails.
 */
final class SequentialTest {

	/**
	 * The upper bound of each sum, which limits how much evidence of health a recovered
	 * target needs before it counts as healthy.
	 */
	private static final double MAX_SUM = PooledOutlierDetector.THRESHOLD + 5;

	/**
	 * The sum up to which a failure domain sees the target work and so contradicts
	 * domains that see it fail. About five answers without a failure reach it.
	 */
	private static final double CONTRADICTING_SUM = -1.5;

	/**
	 * The lower bound of the sum of a failure domain, which limits how much evidence of
	 * failures is needed to outweigh earlier successes.
	 */
	private static final double MIN_DOMAIN_SUM = -20;

	/**
	 * The log odds of a path fault against an unhealthy target above which the target is
	 * not ejected and more evidence is awaited; 1 is odds of e:1.
	 */
	private static final double PATH_FAULT_LOG_ODDS = 1;

	/**
	 * The fraction of a reporter's requests that is assumed to stay unanswered if its
	 * network path to the target fails.
	 */
	private static final double PATH_FAULT_RATE = 0.98;

	private double sum;

	private final Map<String, Double> sumByDomain = new HashMap<>();

	private final Map<String, ReporterCounts> countsByReporter = new HashMap<>();

	private int failureCount;

	private int unansweredCount;

	double sum() {
		return this.sum;
	}

	void reset(double initialSum) {
		this.sum = initialSum;
		this.sumByDomain.clear();
		this.countsByReporter.clear();
		this.failureCount = 0;
		this.unansweredCount = 0;
	}

	/**
	 * Adds the evidence of a finished interval.
	 * @param ratioByDomain the log-likelihood ratio of the interval by the reporters'
	 * failure domain
	 */
	void add(Map<String, Double> ratioByDomain) {
		double next = this.sum + total(ratioByDomain);
		if (next <= 0) {
			reset(0);
			return;
		}
		this.sum = Math.min(MAX_SUM, next);
		ratioByDomain.forEach((domain, ratio) -> this.sumByDomain.merge(domain, ratio,
				(old, added) -> Math.max(MIN_DOMAIN_SUM, Math.min(MAX_SUM, old + added))));
	}

	void recordOutcomes(String reporterProcessId, int answered, int answeredFailures, int unanswered) {
		// Successes are not counted until there is evidence against the target.
		if (this.sum == 0 && answeredFailures + unanswered == 0 && this.countsByReporter.isEmpty()) {
			return;
		}
		this.failureCount += answeredFailures + unanswered;
		this.unansweredCount += unanswered;
		this.countsByReporter.merge(reporterProcessId, new ReporterCounts(answered, Math.max(0, unanswered)),
				(old, added) -> old.plus(answered, unanswered));
	}

	double sumIncluding(Map<String, Double> currentInterval) {
		return Math.max(0, this.sum + total(currentInterval));
	}

	/**
	 * Returns the failure domains that see the target fail while another domain sees it
	 * work.
	 * @param currentInterval the log-likelihood ratio of the current interval by failure
	 * domain
	 * @return the domains that see failures; empty if no domain contradicts them
	 */
	Set<String> locallyFailingDomains(Map<String, Double> currentInterval) {
		Map<String, Double> sums = new HashMap<>(this.sumByDomain);
		currentInterval.forEach((domain, ratio) -> sums.merge(domain, ratio, Double::sum));
		boolean contradicted = sums.values().stream().anyMatch((ratio) -> ratio <= CONTRADICTING_SUM);
		if (!contradicted) {
			return Set.of();
		}
		return sums.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() > 0)
			.map(Map.Entry::getKey)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Returns whether unanswered requests are concentrated on some reporters. With a
	 * faulty network path a reporter loses all of its requests or none; with an unhealthy
	 * target each reporter loses some.
	 * @return whether a path fault explains the evidence better than an unhealthy target
	 */
	boolean suggestsPathFault() {
		// Failures that the target answered show that the path to it works.
		if (this.unansweredCount * 2 < this.failureCount || this.countsByReporter.size() < 2) {
			return false;
		}
		double unansweredTotal = 0;
		double total = 0;
		double faultyReporters = 0;
		for (ReporterCounts counts : this.countsByReporter.values()) {
			unansweredTotal += counts.unanswered();
			total += counts.unanswered() + counts.answered();
			faultyReporters += (counts.unanswered() > counts.answered()) ? 1 : 0;
		}
		double rate = Math.min(PATH_FAULT_RATE, (unansweredTotal + LogLikelihood.MIN_RATE) / (total + 1));
		double faultyShare = (faultyReporters + 0.5) / (this.countsByReporter.size() + 1);
		double ratio = 0;
		for (ReporterCounts counts : this.countsByReporter.values()) {
			ratio += Math
				.log(faultyShare * counts.likelihood(PATH_FAULT_RATE)
						+ (1 - faultyShare) * counts.likelihood(LogLikelihood.MIN_RATE))
					- Math.log(counts.likelihood(rate));
		}
		return ratio > PATH_FAULT_LOG_ODDS;
	}

	private static double total(Map<String, Double> ratioByDomain) {
		double total = 0;
		for (double ratio : ratioByDomain.values()) {
			total += ratio;
		}
		return total;
	}

	private record ReporterCounts(int answered, int unanswered) {

		// Overdue requests that have ended are subtracted again, so moreUnanswered may be
		// negative.
		ReporterCounts plus(int moreAnswered, int moreUnanswered) {
			return new ReporterCounts(Math.min(1000, this.answered + moreAnswered),
					Math.max(0, Math.min(1000, this.unanswered + moreUnanswered)));
		}

		double likelihood(double rate) {
			return Math.max(Double.MIN_NORMAL, Math.pow(rate, this.unanswered) * Math.pow(1 - rate, this.answered));
		}

	}

}
