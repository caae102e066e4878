package org.plantainspur.core.target;

/**
 * What a target says of itself in its responses.
 *
 * @param requestsPerSecond the requests a second that it takes from all hosts together;
 * {@link #UNLIMITED} if it names no limit
 * @param leaving whether it is leaving and must get no new requests
 */
public record TargetStatement(double requestsPerSecond, boolean leaving) {

	/** The rate of a target that names no limit. */
	public static final double UNLIMITED = Double.POSITIVE_INFINITY;

	/** The statement of a target that says nothing of itself. */
	public static final TargetStatement NONE = new TargetStatement(UNLIMITED, false);

	/**
	 * Returns the statement of a target that names a limit and is not leaving.
	 * @param requestsPerSecond the limit
	 * @return the statement
	 */
	public static TargetStatement limitedTo(double requestsPerSecond) {
		return new TargetStatement(requestsPerSecond, false);
	}

	/**
	 * Returns what holds after another statement. A target that was leaving is leaving
	 * for as long as its incarnation lasts.
	 * @param later the later statement
	 * @return the later statement, leaving if this one is
	 */
	TargetStatement followedBy(TargetStatement later) {
		return new TargetStatement(later.requestsPerSecond, this.leaving || later.leaving);
	}

	/**
	 * Returns whether the target names a limit.
	 * @return {@code true} if its rate is limited
	 */
	public boolean limited() {
		return this.requestsPerSecond != UNLIMITED;
	}

}
