package org.plantainspur.core.time;

/**
 * A safety margin for durations that two processes measure with clocks of different
 * rates.
 */
public final class ClockMargin {

	private ClockMargin() {
	}

	/**
	 * Lengthens a duration by 2% and 50 ms, so that once it has passed on this clock, the
	 * original duration has certainly passed on the clock of another process.
	 * @param millis the duration to lengthen, in milliseconds
	 * @return the lengthened duration in milliseconds
	 */
	public static long lengthen(long millis) {
		return millis + millis / 50 + 50;
	}

}
