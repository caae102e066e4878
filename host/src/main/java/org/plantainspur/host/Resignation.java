package org.plantainspur.host;

/**
 * Gives up this host's membership and its shares of rate limits when it stops, so that
 * other hosts may take the shares over.
 */
interface Resignation {

	/**
	 * Stops the use of this host's shares of rate limits at once, without the platform,
	 * and makes further heartbeats announce that this process is leaving. After this call
	 * the process does not rejoin the fleet.
	 */
	void stopUsingShares();

	/**
	 * Writes the resignation, so that other hosts may start to use the shares.
	 * @return {@code true} if the resignation is known to be written, {@code false} if
	 * the platform gave no answer or every attempt failed
	 */
	boolean resign();

}
