package org.plantainspur.standins.http;

import java.io.IOException;

/**
 * Handles one request.
 */
@FunctionalInterface
public interface Handler {

	/**
	 * Handles a request; without an answer the connection is reset.
	 * @param exchange the request and its connection
	 * @throws IOException if the connection fails
	 */
	void handle(Exchange exchange) throws IOException;

}
