package org.plantainspur.core.target;

/**
 * The estimated probability that a target is unhealthy, updated by Bayes' rule after each
 * outcome. The model has two states: an unhealthy target fails most of its requests and
 * stays unhealthy for some seconds; a healthy one fails one or two in a hundred. It
 * detects targets that fail for seconds at a time while their health checks pass.
 *
 * @param unhealthyProbability the probability that the target is unhealthy, from 0 to 1,
 * as of the update
 * @param updatedMs when the last outcome was recorded, in the clock's milliseconds
 */
record HealthEstimate(double unhealthyProbability, long updatedMs) {

	/**
	 * The probability that a target without recent outcomes is unhealthy. Equals the
	 * failure rate of first attempts on a target (docs/MEASURES.md).
	 */
	static final double PRIOR = 0.28;

	/**
	 * Time constant with which the estimate decays to the prior. An outcome is relevant
	 * for about as long as targets stay unhealthy or healthy; see the failures by time
	 * since the last success in docs/MEASURES.md.
	 */
	static final double TIME_CONSTANT_MS = 6_500;

	/**
	 * The fraction of its requests that an unhealthy target fails. Less than 1, since
	 * such a target still answers some requests successfully.
	 */
	static final double UNHEALTHY_FAILURE_RATE = 0.85;

	/**
	 * The fraction of its requests that a healthy target fails. More than 0, since some
	 * requests fail on any target.
	 */
	static final double HEALTHY_FAILURE_RATE = 0.015;

	static final HealthEstimate INITIAL = new HealthEstimate(PRIOR, Long.MIN_VALUE / 4);

	/** Upper bound of the estimate, so that a few successes can still lower it. */
	private static final double MAX_PROBABILITY = 0.98;

	/**
	 * Lower bound of the estimate, so that a few failures can still raise it after many
	 * concurrent successes: a target may become unhealthy between two requests.
	 */
	private static final double MIN_PROBABILITY = 0.01;

	// The probability that the target is unhealthy, decayed to the prior since the last
	// outcome.
	double unhealthyAt(long nowMs) {
		double age = Math.max(0, nowMs - this.updatedMs);
		return PRIOR + (this.unhealthyProbability - PRIOR) * Math.exp(-age / TIME_CONSTANT_MS);
	}

	// The probability that the target fails its next request.
	double failureProbability(long nowMs) {
		double unhealthy = unhealthyAt(nowMs);
		return unhealthy * UNHEALTHY_FAILURE_RATE + (1 - unhealthy) * HEALTHY_FAILURE_RATE;
	}

	// How far the estimate has decayed to the prior: 0 just after an outcome, 1 after a
	// long time.
	double staleness(long nowMs) {
		return 1 - Math.exp(-Math.max(0, nowMs - this.updatedMs) / TIME_CONSTANT_MS);
	}

	HealthEstimate afterFailure(long nowMs) {
		return updated(nowMs, UNHEALTHY_FAILURE_RATE, HEALTHY_FAILURE_RATE);
	}

	HealthEstimate afterSuccess(long nowMs) {
		return updated(nowMs, 1 - UNHEALTHY_FAILURE_RATE, 1 - HEALTHY_FAILURE_RATE);
	}

	private HealthEstimate updated(long nowMs, double likelihoodUnhealthy, double likelihoodHealthy) {
		double prior = unhealthyAt(nowMs);
		double jointUnhealthy = prior * likelihoodUnhealthy;
		double posterior = jointUnhealthy / (jointUnhealthy + (1 - prior) * likelihoodHealthy);
		return new HealthEstimate(Math.max(MIN_PROBABILITY, Math.min(MAX_PROBABILITY, posterior)), nowMs);
	}

}
