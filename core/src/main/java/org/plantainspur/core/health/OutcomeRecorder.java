package org.plantainspur.core.health;

import org.plantainspur.core.routing.Target;

/**
 * Receives the outcome of each dispatch as evidence on the target's health.
 */
public interface OutcomeRecorder {

	/**
	 * Records that a dispatch starts. The returned handle is closed when the dispatch
	 * ends, before its outcome is recorded.
	 * @param target the target that the request is sent to
	 * @param accountId the client account's id
	 * @return the handle of the dispatch
	 */
	default InFlightDispatch dispatchStarted(Target target, String accountId) {
		return InFlightDispatch.NO_OP;
	}

	/**
	 * Records the outcome of a dispatch that has ended.
	 * @param outcome the target, the request and how the dispatch ended
	 */
	void record(Outcome outcome);

	/**
	 * Records that a target has announced that it is leaving.
	 * @param target the target
	 */
	void targetLeaving(Target target);

	/**
	 * A dispatch that has started and not ended.
	 */
	interface InFlightDispatch extends AutoCloseable {

		/** The handle of a dispatch that is not tracked; closing it has no effect. */
		InFlightDispatch NO_OP = () -> {
		};

		@Override
		void close();

	}

	/**
	 * The outcome of one dispatch.
	 *
	 * @param target the target
	 * @param accountId the client account's id
	 * @param fingerprint the request's identity, equal for repeats of the same request
	 * @param kind how the dispatch ended
	 * @param latencyMillis the time from dispatch to its end, in milliseconds
	 */
	record Outcome(Target target, String accountId, String fingerprint, Kind kind, long latencyMillis) {
	}

	/**
	 * How a dispatch ended.
	 */
	enum Kind {

		/**
		 * A complete response with a status below 500, or a response that exceeds the
		 * size limit.
		 */
		SUCCESS,

		/** A complete response with a status of 500 or above. */
		FAILURE,

		/** No complete response within the timeout. */
		TIMEOUT,

		/** The connection could not be established. */
		CONNECT_FAILURE,

		/** The connection closed while the request was running. */
		RESET,

		/** The target refused the request without running it. */
		SHED

	}

}
