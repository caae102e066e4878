package org.plantainspur.core.configuration;

/**
 * How often a member reads the platform, so that all members together read no more than a
 * part of what the platform handles. For example
 * {@code new PollSchedule(500).intervalMillis(950)} is 1,900.
 *
 * @param shortestMillis the interval in a small fleet, in milliseconds
 */
public record PollSchedule(long shortestMillis) {

	/** The newest sequence number and the host list. */
	private static final int READS_OF_A_POLL = 2;

	/**
	 * The platform handles about 2,000 reads a second; the other half is left for new
	 * hosts, changes and operators.
	 */
	private static final int READS_OF_THE_FLEET_PER_SECOND = 1000;

	/**
	 * A host whose last read is older than 3,000 ms may have to stop keyed routes, and a
	 * read can take up to a second.
	 */
	private static final long LONGEST_MILLIS = 2000;

	private static final long MILLIS_PER_SECOND = 1000;

	/**
	 * Returns the time between two reads of one member.
	 * @param members the number of members
	 * @return the time in milliseconds
	 */
	public long intervalMillis(int members) {
		long shared = members * READS_OF_A_POLL * MILLIS_PER_SECOND / READS_OF_THE_FLEET_PER_SECOND;
		return Math.max(this.shortestMillis, Math.min(shared, LONGEST_MILLIS));
	}

}
