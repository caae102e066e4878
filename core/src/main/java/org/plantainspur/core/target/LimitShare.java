package org.plantainspur.core.target;

/**
 * Divides the limit that a target names among the hosts.
 */
public interface LimitShare {

	/**
	 * Returns the fraction of a target's limit that this host may use now.
	 * @param target the target
	 * @return the fraction, from 0 to 1; the fractions of all hosts add up to 1 at most
	 */
	double of(TargetListing target);

	/**
	 * Returns since when this host has had its fractions.
	 * @return the time of the clock in milliseconds
	 */
	long heldSinceMs();

}
