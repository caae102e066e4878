package org.plantainspur.standins.target;

import org.jspecify.annotations.Nullable;

/**
 * The course of one request.
 *
 * @param account the client account, if the request named one
 * @param millis how long it runs
 * @param status the status of the answer
 * @param ending how the answer ends
 */
record Work(@Nullable String account, double millis, int status, Ending ending) {

	Work withMillis(double next) {
		return new Work(this.account, next, this.status, this.ending);
	}

	Work withStatus(int next) {
		return new Work(this.account, this.millis, next, this.ending);
	}

	Work withEnding(Ending next) {
		return new Work(this.account, this.millis, this.status, next);
	}

	/**
	 * How an answer ends.
	 */
	enum Ending {

		/** The whole answer is sent. */
		COMPLETE,

		/** Half of the answer is sent. */
		TRUNCATED,

		/** The connection is reset before the answer. */
		RESET

	}

}
