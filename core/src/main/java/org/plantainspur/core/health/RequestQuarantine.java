package org.plantainspur.core.health;

/**
 * The requests that are not dispatched because they crash the targets that run them.
 */
@FunctionalInterface
public interface RequestQuarantine {

	/**
	 * Returns whether a request must not be dispatched.
	 * @param fingerprint the request's identity, equal for repeats of the same request
	 * @return {@code true} if the request is quarantined
	 */
	boolean quarantined(String fingerprint);

}
