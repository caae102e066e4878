package org.plantainspur.core.fleet;

/**
 * The usage of an account's limit by one host or failure domain.
 *
 * @param count the number of requests admitted since counting began
 * @param ratePerSecond the recent rate of admitted requests, as a moving average
 */
public record AccountUsage(long count, double ratePerSecond) {

	/** No usage. */
	public static final AccountUsage NONE = new AccountUsage(0, 0);

}
