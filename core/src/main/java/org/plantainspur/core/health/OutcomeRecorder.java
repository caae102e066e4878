package org.plantainspur.core.health;

import org.plantainspur.core.routing.Target;

/**
 * Takes the outcome of each dispatch as evidence on the target's health.
 */
public interface OutcomeRecorder {

	/**
	 * Notes that a dispatch begins. Its handle is closed when the dispatch ends, before
	 * the outcome is recorded.
	 * @param target the target
	 * @param accountId the client account
	 * @return the running dispatch
	 */
	default Running began(Target target, String accountId) {
		return Running.IGNORED;
	}

	/**
	 * Records one outcome.
	 * @param outcome the outcome
	 */
	void record(Outcome outcome);

	/**
	 * Records that a target said that it is leaving.
	 * @param target the target
	 */
	void leaving(Target target);

	/**
	 * A dispatch that has not ended.
	 */
	interface Running extends AutoCloseable {

		/** Nobody watches the dispatch. */
		Running IGNORED = () -> {
		};

		@Override
		void close();

	}

	/**
	 * What became of one dispatch.
	 *
	 * @param target the target
	 * @param accountId the client account
	 * @param fingerprint the request's identity, equal for repeats of the same request
	 * @param kind how it ended
	 * @param latencyMillis from dispatch to the end, in milliseconds
	 */
	record Outcome(Target target, String accountId, String fingerprint, Kind kind, long latencyMillis) {
	}

	/**
	 * How a dispatch ended.
	 */
	enum Kind {

		/** A whole answer below status 500. */
		SUCCESS,

		/** A whole answer with status 500 or above. */
		FAILURE,

		/** No whole answer within the time allowed. */
		TIMEOUT,

		/** No connection. */
		CONNECT_FAILURE,

		/** The connection ended while the request was running. */
		RESET,

		/** The target said that it did not run the request. */
		SHED

	}

}
