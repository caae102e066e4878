package org.plantainspur.core.configuration;

/**
 * Computes how often a member reads the platform, so that a fleet of up to 1,000 members
 * uses at most half of the platform's read capacity. For example
 * {@code new PollSchedule(500).intervalMillis(950)} returns 1,900.
 *
 * @param shortestIntervalMillis the shortest interval, in milliseconds, which applies in
 * a small fleet; a value above 2,000 applies in every fleet
 */
public record PollSchedule(long shortestIntervalMillis) {

	/** The reads of one poll: the newest sequence number and the list of targets. */
	private static final int READS_PER_POLL = 2;

	/**
	 * The reads per second that all members together may cause. This is half of the about
	 * 2,000 reads per second that the platform handles; the other half is for new hosts,
	 * changes and operators.
	 */
	private static final int FLEET_READS_PER_SECOND = 1000;

	/**
	 * The upper bound of an interval that depends on the number of members. A host whose
	 * last read began more than 3,000 ms ago may have to refuse requests on routes that
	 * need a key, and a read can take up to 1,000 ms.
	 */
	private static final long LONGEST_INTERVAL_MILLIS = 2000;

	private static final long MILLIS_PER_SECOND = 1000;

	/**
	 * Returns how long one member waits between two polls.
	 * @param members the number of members
	 * @return the time from the end of one poll to the start of the next, in milliseconds
	 */
	public long intervalMillis(int members) {
		long sharedInterval = members * READS_PER_POLL * MILLIS_PER_SECOND / FLEET_READS_PER_SECOND;
		return Math.max(this.shortestIntervalMillis, Math.min(sharedInterval, LONGEST_INTERVAL_MILLIS));
	}

}
