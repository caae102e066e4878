package org.plantainspur.core.health;

import java.util.List;

/**
 * Computes failure rates over the siblings of a target.
 */
final class SiblingRates {

	/**
	 * The number of assumed outcomes at the minimum rate that are added to the siblings'
	 * own, so that a few outcomes do not decide the rate.
	 */
	private static final double SERVICE_PRIOR = 5;

	/**
	 * The number of assumed outcomes at the minimum rate that are added to those of a
	 * path. It is smaller than {@link #SERVICE_PRIOR}: little traffic crosses regions, so
	 * few outcomes must be able to show a path fault.
	 */
	private static final double PATH_PRIOR = 2;

	/**
	 * The number of assumed outcomes, at a rate of one half, that are added to those of
	 * an account. A dozen successes on siblings outweigh them.
	 */
	private static final double ACCOUNT_PRIOR = 0.5;

	private SiblingRates() {
	}

	/**
	 * Returns the failure rate of the siblings in the current interval.
	 * @param allTargets the outcomes of all targets by account
	 * @param excluded the targets that do not count as siblings
	 * @return the rate, 0 to 1
	 */
	static double serviceRate(OutcomeCounts<String> allTargets, List<PooledOutlierDetector.TargetHistory> excluded) {
		double failures = allTargets.failures();
		double total = allTargets.total();
		for (PooledOutlierDetector.TargetHistory target : excluded) {
			failures -= target.byAccount.failures();
			total -= target.byAccount.total();
		}
		return (Math.max(0, failures) + LogLikelihood.MIN_RATE * SERVICE_PRIOR) / (Math.max(0, total) + SERVICE_PRIOR);
	}

	/**
	 * Returns the failure rate of an account's requests on the siblings, over the current
	 * interval and the decayed history. Without any outcomes it is one half, so that
	 * failures of an account that uses no sibling prove nothing.
	 * @param account the client account's id
	 * @param interval the outcomes of all targets in the current interval
	 * @param history the earlier outcomes of all targets
	 * @param excluded the targets that do not count as siblings
	 * @return the rate, 0 to 1
	 */
	static double accountRate(String account, OutcomeCounts<String> interval, OutcomeCounts<String> history,
			List<PooledOutlierDetector.TargetHistory> excluded) {
		double failures = interval.failures(account) + history.failures(account);
		double total = interval.total(account) + history.total(account);
		for (PooledOutlierDetector.TargetHistory target : excluded) {
			failures -= target.byAccount.failures(account) + target.history.failures(account);
			total -= target.byAccount.total(account) + target.history.total(account);
		}
		return (Math.max(0, failures) + ACCOUNT_PRIOR / 2) / (Math.max(0, total) + ACCOUNT_PRIOR);
	}

	/**
	 * Returns the recent failure rate of the siblings in the same region, as seen from
	 * one failure domain. It is high when the network path between them fails.
	 * @param path the failure domain and the region
	 * @param allTargets the outcomes of all targets by path
	 * @param excluded the targets that do not count as siblings
	 * @return the rate, 0 to 1
	 */
	static double pathRate(PooledOutlierDetector.Path path, OutcomeCounts<PooledOutlierDetector.Path> allTargets,
			List<PooledOutlierDetector.TargetHistory> excluded) {
		double failures = allTargets.failures(path);
		double total = allTargets.total(path);
		for (PooledOutlierDetector.TargetHistory target : excluded) {
			failures -= target.byPath.failures(path);
			total -= target.byPath.total(path);
		}
		return (Math.max(0, failures) + LogLikelihood.MIN_RATE * PATH_PRIOR) / (Math.max(0, total) + PATH_PRIOR);
	}

}
