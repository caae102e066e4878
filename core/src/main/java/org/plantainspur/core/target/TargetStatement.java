package org.plantainspur.core.target;

/**
 * What a target says of itself in its responses.
 *
 * @param requestsPerSecond the requests a second that it takes from all hosts together;
 * {@link #UNLIMITED} if it names no limit
 */
public record TargetStatement(double requestsPerSecond) {

	/** The rate of a target that names no limit. */
	public static final double UNLIMITED = Double.POSITIVE_INFINITY;

	/** The statement of a target that says nothing of itself. */
	public static final TargetStatement NONE = new TargetStatement(UNLIMITED);

	/**
	 * Returns whether the target names a limit.
	 * @return {@code true} if its rate is limited
	 */
	public boolean limited() {
		return this.requestsPerSecond != UNLIMITED;
	}

}
