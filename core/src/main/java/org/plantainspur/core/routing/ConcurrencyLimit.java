package org.plantainspur.core.routing;

/**
 * Decides how many requests of a service this host may run at once.
 */
@FunctionalInterface
public interface ConcurrencyLimit {

	/**
	 * Returns the current limit.
	 * @param service the service's name
	 * @param inUse the number of requests of the service that run through this host now
	 * @return the number of requests, at least 1
	 */
	int limit(String service, int inUse);

}
