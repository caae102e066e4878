package org.plantainspur.core.idempotency;

import java.util.concurrent.CompletableFuture;

import org.plantainspur.core.request.CallerAnswer;

/**
 * Holds a record for each non-idempotent request under its idempotency key, so that the
 * request runs at most once in the whole fleet.
 */
public interface IdempotencyRegistry {

	/**
	 * Issues a dispatch token. Requests whose idempotency keys start with it may be
	 * dispatched by this process only.
	 * @param accountId the id of the client account that may use the token
	 * @return the token's text, which contains no {@code .}
	 */
	String issueToken(String accountId);

	/**
	 * Opens a record for a request, or finds the record of an earlier request with the
	 * same key.
	 * @param accountId the id of the client account that sent the request
	 * @param idempotencyKey the key, {@code <dispatch token>.<caller's value>}
	 * @param fingerprint identifies the request's method, path, query and body
	 * @return what the caller of this method must do with the request
	 */
	DispatchDecision register(String accountId, String idempotencyKey, String fingerprint);

	/**
	 * Returns whether it is certain that no process has dispatched a request with a key
	 * so far.
	 * @param idempotencyKey the key as the caller sent it
	 * @return {@code true} if the key starts with no well-formed token, so that no
	 * process accepts it, or if its token names this process, has not expired and no
	 * record for the key exists; {@code false} if in doubt
	 */
	boolean certainlyNotRun(String idempotencyKey);

	/**
	 * Returns the number of open records, those of registered requests that have no final
	 * answer yet.
	 * @return the number of requests, including those that still wait for admission
	 */
	int running();

	/**
	 * Returns whether the records are no longer in use, so that the process may stop.
	 * @param idleMillis the required time since the last request with a token of this
	 * process arrived, in milliseconds
	 * @return {@code true} if no record is open and that time has passed
	 */
	boolean idle(long idleMillis);

	/**
	 * What to do with a registered request.
	 */
	sealed interface DispatchDecision {

		/**
		 * The request is dispatched by this process, which then closes the record exactly
		 * once.
		 *
		 * @param openRecord the new record of the request
		 */
		record Dispatch(OpenRecord openRecord) implements DispatchDecision {
		}

		/**
		 * The request is a repeat, which waits for the answer of the first request.
		 *
		 * @param answer completes with the answer of the first request, now or later
		 */
		record Join(CompletableFuture<CallerAnswer> answer) implements DispatchDecision {
		}

		/**
		 * The request must be relayed to the process that issued its token.
		 *
		 * @param hostId the id of the host of that process
		 * @param processId the id of that process
		 */
		record Relay(String hostId, String processId) implements DispatchDecision {
		}

		/**
		 * The request is not dispatched.
		 *
		 * @param refusal the answer to the caller with the reason
		 */
		record Refuse(CallerAnswer.Refused refusal) implements DispatchDecision {
		}

	}

	/**
	 * The record of a request that this process dispatches, until the request has its
	 * final answer.
	 */
	interface OpenRecord {

		/**
		 * Closes the record with the final answer, which repeats of the request get too.
		 * @param answer the answer, or a refusal of a request that may have run
		 */
		void complete(CallerAnswer answer);

		/**
		 * Removes the record of a request that has certainly not run, so that a repeat
		 * may be dispatched.
		 * @param refusal the answer to the repeats that are already waiting
		 */
		void removeAsNotRun(CallerAnswer.Refused refusal);

	}

}
