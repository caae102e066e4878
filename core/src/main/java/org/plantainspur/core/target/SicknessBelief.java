package org.plantainspur.core.target;

/**
 * How likely a target is sick, after its results so far: a filter with two states. A sick
 * target fails most of its requests and stays sick for some seconds; a healthy one fails
 * about one in a hundred. Answers the load of targets that fail for seconds at a time
 * while their health checks pass.
 *
 * @param probability how likely the target is sick, from 0 to 1
 * @param atMs when the last result came, in the clock's milliseconds
 */
record SicknessBelief(double probability, long atMs) {

	/** Without results a fifth of the targets is taken to be sick. */
	static final double UNKNOWN = 0.2;

	/** Results count for about as long as targets stay sick or well. */
	static final double TIME_CONSTANT_MS = 8_000;

	/** Some requests of a sick target still succeed. */
	static final double FAILURES_WHEN_SICK = 0.8;

	/** Some requests fail for reasons of their own. */
	static final double FAILURES_WHEN_WELL = 0.015;

	static final SicknessBelief NONE = new SicknessBelief(UNKNOWN, Long.MIN_VALUE / 4);

	/** Certainty would take too long to be given up. */
	private static final double LARGEST = 0.98;

	double now(long nowMs) {
		double age = Math.max(0, nowMs - this.atMs);
		return UNKNOWN + (this.probability - UNKNOWN) * Math.exp(-age / TIME_CONSTANT_MS);
	}

	double failureShare(long nowMs) {
		double sick = now(nowMs);
		return sick * FAILURES_WHEN_SICK + (1 - sick) * FAILURES_WHEN_WELL;
	}

	// How little is known: 0 just after a result, towards 1 when nothing was heard for
	// long.
	double staleness(long nowMs) {
		return 1 - Math.exp(-Math.max(0, nowMs - this.atMs) / TIME_CONSTANT_MS);
	}

	SicknessBelief afterFailure(long nowMs) {
		return after(nowMs, FAILURES_WHEN_SICK, FAILURES_WHEN_WELL);
	}

	SicknessBelief afterSuccess(long nowMs) {
		return after(nowMs, 1 - FAILURES_WHEN_SICK, 1 - FAILURES_WHEN_WELL);
	}

	private SicknessBelief after(long nowMs, double whenSick, double whenWell) {
		double before = now(nowMs);
		double sick = before * whenSick;
		return new SicknessBelief(Math.min(LARGEST, sick / (sick + (1 - before) * whenWell)), nowMs);
	}

}
