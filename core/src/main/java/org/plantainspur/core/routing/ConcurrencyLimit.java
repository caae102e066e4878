package org.plantainspur.core.routing;

/**
 * How many requests of a service this host may run at once.
 */
@FunctionalInterface
public interface ConcurrencyLimit {

	/**
	 * Returns the limit.
	 * @param service the service's name
	 * @param inUse the requests of the service that run through this host now
	 * @return at least 1
	 */
	int limit(String service, int inUse);

}
