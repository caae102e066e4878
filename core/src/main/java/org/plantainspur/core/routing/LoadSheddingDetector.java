package org.plantainspur.core.routing;

/**
 * Detects services whose targets shed load, which means that they refuse requests because
 * they are overloaded.
 */
@FunctionalInterface
public interface LoadSheddingDetector {

	/**
	 * Returns whether a service is overloaded, so that retries would make it worse.
	 * @param service the service's name
	 * @return whether the targets of the service shed load
	 */
	boolean shedding(String service);

}
