package org.plantainspur.adapters.http;

/**
 * Whether this host is about to stop.
 */
@FunctionalInterface
public interface StopSignal {

	/**
	 * Returns whether a graceful shutdown has begun.
	 * @return {@code true} from its beginning on
	 */
	boolean stopping();

}
