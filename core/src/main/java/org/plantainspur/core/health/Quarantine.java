package org.plantainspur.core.health;

/**
 * Requests that crash the targets that run them.
 */
@FunctionalInterface
public interface Quarantine {

	/**
	 * Returns whether a request must not be dispatched.
	 * @param fingerprint the request's identity
	 * @return {@code true} if it is quarantined
	 */
	boolean holds(String fingerprint);

}
