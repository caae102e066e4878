package org.plantainspur.core.health;

/**
 * The ejection history of one target at its coordinator.
 */
final class EjectionState {

	/** The first hold time. */
	static final long FIRST_HOLD_MILLIS = 5000;

	/** The hold time doubles at each relapse up to this. */
	static final long LONGEST_HOLD_MILLIS = 600_000;

	/** A target that stays well for this long starts from the first hold time again. */
	static final long RELAPSE_MILLIS = 600_000;

	/** Work on a cold target is slow at first, which says nothing about its health. */
	static final long COLD_MILLIS = 10_000;

	private static final long WARM = -SlowStart.DURATION_MILLIS;

	private boolean ejected;

	private long holdUntil;

	private long hold;

	private long startedAt;

	private boolean everEjected;

	private int requiredBudget;

	private String reason = "";

	private EjectionState(long startedAt) {
		this.startedAt = startedAt;
	}

	static EjectionState fresh(long nowMillis) {
		return new EjectionState(nowMillis);
	}

	static EjectionState warm(long nowMillis) {
		return new EjectionState(nowMillis + WARM);
	}

	boolean ejected() {
		return this.ejected;
	}

	boolean holdEnded(long nowMillis) {
		return nowMillis >= this.holdUntil;
	}

	int requiredBudget() {
		return this.requiredBudget;
	}

	String reason() {
		return this.reason;
	}

	void eject(long nowMillis, int withBudget, String why) {
		boolean relapse = this.everEjected && nowMillis - this.startedAt < RELAPSE_MILLIS;
		this.hold = relapse ? Math.min(LONGEST_HOLD_MILLIS, this.hold * 2) : FIRST_HOLD_MILLIS;
		this.ejected = true;
		this.everEjected = true;
		this.holdUntil = nowMillis + this.hold;
		this.requiredBudget = withBudget;
		this.reason = why;
	}

	void readmit(long nowMillis) {
		this.ejected = false;
		this.startedAt = nowMillis;
	}

	/**
	 * Ends the ejection for want of budget, not because its hold time is over. So the
	 * next ejection has the same hold time and is no relapse.
	 * @param nowMillis the current reading of the process clock
	 */
	void giveBack(long nowMillis) {
		this.hold /= 2;
		readmit(nowMillis);
	}

	boolean ejectedFor(long millis, long nowMillis) {
		return this.ejected && nowMillis - (this.holdUntil - this.hold) >= millis;
	}

	boolean cold(long nowMillis) {
		return nowMillis - this.startedAt < COLD_MILLIS;
	}

	double weight(long nowMillis) {
		return SlowStart.weight(nowMillis - this.startedAt);
	}

}
