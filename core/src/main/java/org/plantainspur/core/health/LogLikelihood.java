package org.plantainspur.core.health;

/**
 * Log-likelihood ratios of Bernoulli trials.
 */
final class LogLikelihood {

	/** Rates are kept away from 0 and 1, where one outcome would decide everything. */
	static final double LEAST_RATE = 0.005;

	static final double LARGEST_RATE = 0.95;

	/** A sick target fails this share of what a sibling would have served. */
	private static final double SICK_SHARE = 0.3;

	private LogLikelihood() {
	}

	static double clamp(double rate) {
		return Math.min(LARGEST_RATE, Math.max(LEAST_RATE, rate));
	}

	static double sickRate(double siblingRate) {
		return siblingRate + SICK_SHARE * (1 - siblingRate);
	}

	static double ratio(double bad, double good, double healthyRate, double sickRate) {
		return bad * Math.log(sickRate / healthyRate) + good * Math.log((1 - sickRate) / (1 - healthyRate));
	}

}
