package org.plantainspur.host;

import java.io.IOException;

import org.plantainspur.core.routing.TargetDirectory;

/**
 * Reads the list of targets that the platform publishes.
 */
@FunctionalInterface
interface TargetSource {

	/**
	 * Reads the list once.
	 * @return the listed targets, grouped by service
	 * @throws IOException if the platform gives no valid answer
	 */
	TargetDirectory read() throws IOException;

}
