package org.plantainspur.standins.http;

import java.io.IOException;

import org.plantainspur.core.finding.Findings;

/**
 * A request that a stand-in received, with the connection on which it is answered.
 */
public final class ServerExchange {

	private final Request request;

	private final Connection connection;

	private boolean responded;

	ServerExchange(Request request, Connection connection) {
		this.request = request;
		this.connection = connection;
	}

	/**
	 * Returns the request.
	 * @return the request as it was read from the connection
	 */
	public Request request() {
		return this.request;
	}

	/**
	 * Sends the whole response.
	 * @param response the status, header fields and body
	 * @throws IOException if the connection fails
	 */
	public void respond(Response response) throws IOException {
		this.responded = true;
		this.connection.writeResponse(response, response.body().length);
	}

	/**
	 * Sends the header fields and the first half of the body, then closes the connection.
	 * @param response the response; its Content-Length is that of the whole body
	 * @throws IOException if the connection fails
	 */
	public void truncate(Response response) throws IOException {
		this.responded = true;
		this.connection.writeResponse(response, response.body().length / 2);
		this.connection.close();
	}

	/**
	 * Resets the TCP connection without a response.
	 */
	public void reset() {
		this.responded = true;
		this.connection.reset();
	}

	/**
	 * Waits for the given time or until the client closes the connection.
	 * @param millis the longest wait, in milliseconds
	 * @return {@code true} if the connection is still open
	 */
	public boolean waitWhileConnected(long millis) {
		return this.connection.waitWhileConnected(millis);
	}

	void handleWith(Handler handler) throws IOException {
		try {
			handler.handle(this);
		}
		catch (BadRequestException ex) {
			respond(Response.error(Response.BAD_REQUEST, String.valueOf(ex.getMessage())));
		}
		catch (Findings.InvalidInputException ex) {
			respond(Response.error(Response.BAD_REQUEST, String.valueOf(ex.getMessage())));
		}
		if (!this.responded) {
			reset();
		}
	}

}
