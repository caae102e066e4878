package org.plantainspur.core.health;

/**
 * Computes log-likelihood ratios of Bernoulli trials for an unhealthy against a healthy
 * target.
 */
final class LogLikelihood {

	/**
	 * Rates are clamped away from 0 and 1, where a single outcome would decide the test.
	 */
	static final double MIN_RATE = 0.005;

	static final double MAX_RATE = 0.95;

	/**
	 * The fraction of the requests a sibling would have served that an unhealthy target
	 * fails.
	 */
	private static final double UNHEALTHY_EXCESS_RATE = 0.3;

	private LogLikelihood() {
	}

	static double clamp(double rate) {
		return Math.min(MAX_RATE, Math.max(MIN_RATE, rate));
	}

	static double unhealthyRate(double siblingRate) {
		return siblingRate + UNHEALTHY_EXCESS_RATE * (1 - siblingRate);
	}

	static double ratio(double failures, double successes, double healthyRate, double unhealthyRate) {
		return failures * Math.log(unhealthyRate / healthyRate)
				+ successes * Math.log((1 - unhealthyRate) / (1 - healthyRate));
	}

}
