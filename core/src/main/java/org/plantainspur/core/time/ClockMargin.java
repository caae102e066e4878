package org.plantainspur.core.time;

/**
 * The margin for clocks of two processes that run at different rates.
 */
public final class ClockMargin {

	private ClockMargin() {
	}

	/**
	 * Lengthens a duration by 2% and 50 ms, so that it has certainly passed at another
	 * process too.
	 * @param millis the duration in milliseconds
	 * @return the longer duration
	 */
	public static long lengthen(long millis) {
		return millis + millis / 50 + 50;
	}

}
