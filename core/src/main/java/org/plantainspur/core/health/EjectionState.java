package org.plantainspur.core.health;

/**
 * The ejection history of one target, kept by its coordinator.
 */
final class EjectionState {

	/** How long an ejection lasts that is not a relapse. */
	static final long BASE_EJECTION_MILLIS = 5000;

	/** The longest ejection. The duration doubles with each relapse up to this. */
	static final long MAX_EJECTION_MILLIS = 600_000;

	/**
	 * An ejection within this time after readmission is a relapse; a later one lasts
	 * {@link #BASE_EJECTION_MILLIS} again.
	 */
	static final long RELAPSE_WINDOW_MILLIS = 600_000;

	/**
	 * How long a new or readmitted target warms up. During this time slow answers are not
	 * evidence against it.
	 */
	static final long WARM_UP_MILLIS = 10_000;

	/**
	 * The start of use, relative to the current time, of a target that has just reached
	 * its full weight.
	 */
	private static final long WARMED_UP_OFFSET_MILLIS = -SlowStart.DURATION_MILLIS;

	private boolean ejected;

	private long ejectedUntil;

	private long ejectionMillis;

	private long inUseSince;

	private boolean wasEjected;

	private int requiredBudget;

	private String reason = "";

	private EjectionState(long inUseSince) {
		this.inUseSince = inUseSince;
	}

	static EjectionState newlyListed(long nowMillis) {
		return new EjectionState(nowMillis);
	}

	static EjectionState warmedUp(long nowMillis) {
		return new EjectionState(nowMillis + WARMED_UP_OFFSET_MILLIS);
	}

	boolean ejected() {
		return this.ejected;
	}

	boolean ejectionTimeElapsed(long nowMillis) {
		return nowMillis >= this.ejectedUntil;
	}

	int requiredBudget() {
		return this.requiredBudget;
	}

	String reason() {
		return this.reason;
	}

	void eject(long nowMillis, int newRequiredBudget, String newReason) {
		boolean relapse = this.wasEjected && nowMillis - this.inUseSince < RELAPSE_WINDOW_MILLIS;
		this.ejectionMillis = relapse ? Math.min(MAX_EJECTION_MILLIS, this.ejectionMillis * 2) : BASE_EJECTION_MILLIS;
		this.ejected = true;
		this.wasEjected = true;
		this.ejectedUntil = nowMillis + this.ejectionMillis;
		this.requiredBudget = newRequiredBudget;
		this.reason = newReason;
	}

	void readmit(long nowMillis) {
		this.ejected = false;
		this.inUseSince = nowMillis;
	}

	/**
	 * Ends the ejection because the budget is needed or has shrunk, before its duration
	 * has elapsed. An ejection that follows within {@link #RELAPSE_WINDOW_MILLIS} has the
	 * same duration again, not twice as long.
	 * @param nowMillis the current reading of the process clock in milliseconds
	 */
	void release(long nowMillis) {
		this.ejectionMillis /= 2;
		readmit(nowMillis);
	}

	boolean ejectedForAtLeast(long millis, long nowMillis) {
		return this.ejected && nowMillis - (this.ejectedUntil - this.ejectionMillis) >= millis;
	}

	boolean warmingUp(long nowMillis) {
		return nowMillis - this.inUseSince < WARM_UP_MILLIS;
	}

	double weight(long nowMillis) {
		return SlowStart.weight(nowMillis - this.inUseSince);
	}

}
