package org.plantainspur.host;

import org.eclipse.jetty.server.Server;

/**
 * Starts the graceful shutdown when the process is asked to end.
 */
@FunctionalInterface
interface ShutdownTrigger {

	/**
	 * Registers the server that the shutdown stops at its end.
	 * @param server the server, which has started
	 */
	void register(Server server);

}
