package org.plantainspur.core.routing;

/**
 * Tells whether the targets of a service refuse work because they have too much of it.
 */
@FunctionalInterface
public interface LoadShedding {

	/**
	 * Returns whether further attempts would add to an overload.
	 * @param service the service's name
	 * @return whether its targets shed load
	 */
	boolean shedding(String service);

}
