package org.plantainspur.adapters.http;

/**
 * Tells whether this host is about to stop.
 */
@FunctionalInterface
public interface ShutdownSignal {

	/**
	 * Returns whether a graceful shutdown has begun.
	 * @return {@code true} from the beginning of the shutdown until the process ends
	 */
	boolean stopping();

}
