package org.plantainspur.core.health;

import java.util.List;

/**
 * Failure rates of the siblings of a target.
 */
final class SiblingRates {

	/** Outcomes at the least rate that stand in while siblings have few of their own. */
	private static final double SERVICE_PRIOR = 5;

	/** Little traffic crosses regions, so few outcomes must be able to show a cut. */
	private static final double PATH_PRIOR = 2;

	/** Half an outcome at a rate of one half; a dozen successes elsewhere outweigh it. */
	private static final double ACCOUNT_PRIOR = 0.5;

	private SiblingRates() {
	}

	/**
	 * Returns the failure rate of the siblings in the running interval.
	 * @param all the outcomes of all targets by account
	 * @param left the targets that do not count
	 * @return the rate
	 */
	static double serviceRate(Tally<String> all, List<PooledHealthJudge.TargetCase> left) {
		double bad = all.bad();
		double count = all.all();
		for (PooledHealthJudge.TargetCase target : left) {
			bad -= target.byAccount.bad();
			count -= target.byAccount.all();
		}
		return (Math.max(0, bad) + LogLikelihood.LEAST_RATE * SERVICE_PRIOR) / (Math.max(0, count) + SERVICE_PRIOR);
	}

	/**
	 * Returns the rate at which an account's requests fail on the siblings, lately and in
	 * the running interval. Without any outcomes it is one half, so that the failures of
	 * an account that is unknown elsewhere prove nothing.
	 * @param account the account
	 * @param interval the outcomes of all targets in the running interval
	 * @param memory the earlier outcomes of all targets
	 * @param left the targets that do not count
	 * @return the rate
	 */
	static double accountRate(String account, Tally<String> interval, Tally<String> memory,
			List<PooledHealthJudge.TargetCase> left) {
		double bad = interval.bad(account) + memory.bad(account);
		double count = interval.all(account) + memory.all(account);
		for (PooledHealthJudge.TargetCase target : left) {
			bad -= target.byAccount.bad(account) + target.memory.bad(account);
			count -= target.byAccount.all(account) + target.memory.all(account);
		}
		return (Math.max(0, bad) + ACCOUNT_PRIOR / 2) / (Math.max(0, count) + ACCOUNT_PRIOR);
	}

	/**
	 * Returns the lately seen failure rate of the siblings in the same region, as one
	 * group of reporters sees them. It is high when the path between them is cut.
	 * @param path the group and the region
	 * @param all the outcomes of all targets by path
	 * @param left the targets that do not count
	 * @return the rate
	 */
	static double pathRate(PooledHealthJudge.Path path, Tally<PooledHealthJudge.Path> all,
			List<PooledHealthJudge.TargetCase> left) {
		double bad = all.bad(path);
		double count = all.all(path);
		for (PooledHealthJudge.TargetCase target : left) {
			bad -= target.byPath.bad(path);
			count -= target.byPath.all(path);
		}
		return (Math.max(0, bad) + LogLikelihood.LEAST_RATE * PATH_PRIOR) / (Math.max(0, count) + PATH_PRIOR);
	}

}
