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

	/**
	 * The part of the targets that is sick at any time, measured as the share of first
	 * attempts at a target that failed (docs/MEASURES.md).
	 */
	static final double UNKNOWN = 0.28;

	/**
	 * Results count for about as long as targets stay sick or well, fitted to the
	 * failures by the time since the last success (docs/MEASURES.md).
	 */
	static final double TIME_CONSTANT_MS = 6_500;

	/** Some requests of a sick target still succeed. */
	static final double FAILURES_WHEN_SICK = 0.85;

	/** Some requests fail for reasons of their own. */
	static final double FAILURES_WHEN_WELL = 0.015;

	static final SicknessBelief NONE = new SicknessBelief(UNKNOWN, Long.MIN_VALUE / 4);

	/** Certainty would take too long to be given up. */
	private static final double LARGEST = 0.98;

	/**
	 * A target may fall sick between two requests; many successes at the same moment must
	 * not hide that.
	 */
	private static final double SMALLEST = 0.01;

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
		double after = sick / (sick + (1 - before) * whenWell);
		return new SicknessBelief(Math.max(SMALLEST, Math.min(LARGEST, after)), nowMs);
	}

}
