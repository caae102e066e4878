package org.plantainspur.core.fleet;

/**
 * What was used of an account's limit.
 *
 * @param count the requests passed on since the counting began
 * @param ratePerSecond the smoothed rate of late
 */
public record Usage(long count, double ratePerSecond) {

	/** Nothing used. */
	public static final Usage NONE = new Usage(0, 0);

}
