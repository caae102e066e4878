package org.plantainspur.core.once;

import java.util.concurrent.CompletableFuture;

import org.plantainspur.core.request.CallerAnswer;

/**
 * Lets each non-idempotent request be dispatched at most once in the whole fleet.
 */
public interface OnceGate {

	/**
	 * Mints a dispatch token, the prefix of idempotency keys that this process may
	 * dispatch.
	 * @param accountId the account that the token is for
	 * @return the token; holds no {@code .}
	 */
	String mint(String accountId);

	/**
	 * Decides what to do with a request.
	 * @param accountId the account that sent the request
	 * @param idempotencyKey the key, {@code <dispatch token>.<own part>}
	 * @param fingerprint the identity of what is asked: method, path, query and body
	 * @return the decision
	 */
	OnceDecision enter(String accountId, String idempotencyKey, String fingerprint);

	/**
	 * Tells whether no request with a key can have been dispatched by any process yet.
	 * @param idempotencyKey the key as the caller sent it
	 * @return {@code true} if the key holds no well-formed token, so that no process
	 * accepts it, or names this process and has no record here; {@code false} if in doubt
	 */
	boolean certainlyNotRun(String idempotencyKey);

	/**
	 * Returns the number of requests that this process dispatches at the moment.
	 * @return the number of tickets that are not complete
	 */
	int running();

	/**
	 * Tells whether the records are no longer in use, so that the process may stop.
	 * @param quietMillis for how long no request may have come for a record, in
	 * milliseconds
	 * @return whether nothing runs and no key of this process has come for that time
	 */
	boolean idle(long quietMillis);

	/**
	 * What to do with a non-idempotent request.
	 */
	sealed interface OnceDecision {

		/**
		 * This process dispatches the request, and then completes the ticket exactly
		 * once.
		 *
		 * @param ticket the open record of the request
		 */
		record Dispatch(Ticket ticket) implements OnceDecision {
		}

		/**
		 * The request runs already or has run; its answer is or becomes available.
		 *
		 * @param answer completes with the answer of the first request
		 */
		record Join(CompletableFuture<CallerAnswer> answer) implements OnceDecision {
		}

		/**
		 * Another process may dispatch the request.
		 *
		 * @param hostId the host of that process
		 * @param processId that process
		 */
		record Relay(String hostId, String processId) implements OnceDecision {
		}

		/**
		 * The request is refused.
		 *
		 * @param refusal the refusal
		 */
		record Refuse(CallerAnswer.Refused refusal) implements OnceDecision {
		}

	}

	/**
	 * The open record of a request that this process dispatches.
	 */
	interface Ticket {

		/**
		 * Records the final answer and hands it to repeats.
		 * @param answer the answer
		 */
		void answered(CallerAnswer answer);

		/**
		 * Removes the record, since the request has certainly not run; a repeat may run.
		 * @param refusal the refusal, handed to repeats that are waiting
		 */
		void notRun(CallerAnswer.Refused refusal);

	}

}
