package org.plantainspur.standins.target;

import org.jspecify.annotations.Nullable;

/**
 * How the target will respond to one service request.
 *
 * @param account the client account, or {@code null} if the request names none
 * @param millis how long the request runs, in milliseconds
 * @param status the HTTP status code of the response
 * @param ending whether the response is sent whole, in part or not at all
 */
record PlannedResponse(@Nullable String account, double millis, int status, Ending ending) {

	PlannedResponse withMillis(double next) {
		return new PlannedResponse(this.account, next, this.status, this.ending);
	}

	PlannedResponse withStatus(int next) {
		return new PlannedResponse(this.account, this.millis, next, this.ending);
	}

	PlannedResponse withEnding(Ending next) {
		return new PlannedResponse(this.account, this.millis, this.status, next);
	}

	/**
	 * How the response to a request ends.
	 */
	enum Ending {

		/** The whole response is sent. */
		COMPLETE,

		/** Half of the body is sent, then the connection is closed. */
		TRUNCATED,

		/** The connection is reset before the response. */
		RESET

	}

}
