package org.plantainspur.core.health;

/**
 * Computes log-likelihood ratios of Bernoulli trials for an unhealthy against a healthy
 * target.
 */
final class LogLikelihood {

	/**
	 * The lower bound of assumed failure rates. At a rate of 0 or 1 a single outcome
	 * would decide the test.
	 */
	static final double MIN_RATE = 0.005;

	/** The upper bound of assumed failure rates. */
	static final double MAX_RATE = 0.95;

	/**
	 * The failure rate assumed for an unhealthy target among those requests that a
	 * sibling would serve.
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

	/**
	 * Returns the logarithm of how much more likely the outcomes are for an unhealthy
	 * target than for a healthy one.
	 * @param failures the number of failures
	 * @param successes the number of successes
	 * @param healthyRate the failure rate of a healthy target
	 * @param unhealthyRate the failure rate of an unhealthy target
	 * @return the ratio; positive if the outcomes suggest an unhealthy target
	 */
	static double ratio(double failures, double successes, double healthyRate, double unhealthyRate) {
		return failures * Math.log(unhealthyRate / healthyRate)
				+ successes * Math.log((1 - unhealthyRate) / (1 - healthyRate));
	}

}
