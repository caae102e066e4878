package org.plantainspur.host;

import org.eclipse.jetty.server.Server;

/**
 * Starts the graceful shutdown when the process is told to end.
 */
@FunctionalInterface
interface StopTrigger {

	/**
	 * Prepares the shutdown of a server that has started.
	 * @param server the server
	 */
	void register(Server server);

}
