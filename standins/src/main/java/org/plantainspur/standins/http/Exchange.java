package org.plantainspur.standins.http;

import java.io.IOException;

import org.plantainspur.core.finding.Findings;

/**
 * One request and the connection that it came on.
 */
public final class Exchange {

	private final Request request;

	private final Connection connection;

	private boolean answered;

	Exchange(Request request, Connection connection) {
		this.request = request;
		this.connection = connection;
	}

	/**
	 * Returns the request.
	 * @return the request
	 */
	public Request request() {
		return this.request;
	}

	/**
	 * Sends the answer.
	 * @param response the answer
	 * @throws IOException if the connection fails
	 */
	public void answer(Response response) throws IOException {
		this.answered = true;
		this.connection.write(response, response.body().length);
	}

	/**
	 * Sends the header fields and only half of the body, then closes the connection.
	 * @param response the answer, whose length is announced in full
	 * @throws IOException if the connection fails
	 */
	public void truncate(Response response) throws IOException {
		this.answered = true;
		this.connection.write(response, response.body().length / 2);
		this.connection.close();
	}

	/**
	 * Resets the connection without an answer.
	 */
	public void reset() {
		this.answered = true;
		this.connection.reset();
	}

	/**
	 * Waits, and notices when the client closes the connection.
	 * @param millis how long to wait, in milliseconds
	 * @return whether the connection is still open
	 */
	public boolean pause(long millis) {
		return this.connection.pause(millis);
	}

	void handleWith(Handler handler) throws IOException {
		try {
			handler.handle(this);
		}
		catch (BadRequestException ex) {
			answer(Response.error(Response.BAD_REQUEST, String.valueOf(ex.getMessage())));
		}
		catch (Findings.InvalidInputException ex) {
			answer(Response.error(Response.BAD_REQUEST, String.valueOf(ex.getMessage())));
		}
		if (!this.answered) {
			reset();
		}
	}

}
