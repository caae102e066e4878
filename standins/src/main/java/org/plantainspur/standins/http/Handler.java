package org.plantainspur.standins.http;

import java.io.IOException;

/**
 * Handles the requests that a stand-in receives.
 */
@FunctionalInterface
public interface Handler {

	/**
	 * Handles one request. A handler that returns without a response resets the
	 * connection.
	 * @param exchange the request, with the means to respond or to end its connection
	 * @throws IOException if the connection fails
	 */
	void handle(ServerExchange exchange) throws IOException;

}
