package org.plantainspur.host;

import java.io.IOException;

import org.plantainspur.core.routing.TargetDirectory;

/**
 * Gives the list of targets.
 */
@FunctionalInterface
interface TargetSource {

	/**
	 * Reads the list once.
	 * @return the targets
	 * @throws IOException if no answer came
	 */
	TargetDirectory read() throws IOException;

}
