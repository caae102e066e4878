package org.plantainspur.host;

/**
 * Gives up what other hosts may take over while this host stops.
 */
interface Resignation {

	/**
	 * Stops the use of this host's rate shares, at once and without the platform.
	 */
	void stopUsingShares();

	/**
	 * Tells the fleet, so that other hosts may start using the shares.
	 * @return whether the fleet can know; {@code false} if the platform gave no answer
	 */
	boolean resign();

}
