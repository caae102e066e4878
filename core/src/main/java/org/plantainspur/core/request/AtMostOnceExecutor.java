package org.plantainspur.core.request;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

import org.plantainspur.core.idempotency.IdempotencyRegistry;
import org.plantainspur.core.time.Clock;

/**
 * Uses idempotency records to run each non-idempotent request at most once, and makes
 * sure that a refusal says "not run" only if no request with the same idempotency key can
 * have run.
 */
final class AtMostOnceExecutor {

	private final Clock clock;

	private final IdempotencyRegistry registry;

	private final RequestRelay relay;

	AtMostOnceExecutor(Clock clock, IdempotencyRegistry registry, RequestRelay relay) {
		this.clock = clock;
		this.registry = registry;
		this.relay = relay;
	}

	/**
	 * Refuses a request that has not run itself. If an earlier request with the same
	 * idempotency key may have run, for example while the route or the caller's API key
	 * was still valid, the refusal says that the outcome is unknown.
	 * @param request the refused request
	 * @param problem the reason, with {@link Problem.Run#NOT_RUN}
	 * @return the refusal, with {@link Problem.Run#UNKNOWN} unless it is certain that no
	 * request with this key has run
	 */
	CallerAnswer refuse(CallerRequest request, Problem problem) {
		String key = request.headers().first(Headers.IDEMPOTENCY_KEY);
		boolean notRun = key == null || this.registry.certainlyNotRun(key);
		return (notRun ? problem : problem.withUnknownOutcome()).toRefusal();
	}

	/**
	 * Serves a request that may run at most once: runs it here, waits for an earlier
	 * request with the same idempotency key, or relays it to the process that issued its
	 * dispatch token.
	 * @param context the state of the request
	 * @param run sends the request to a target; called at most once
	 * @return the answer of this request or of the earlier one, or a refusal
	 */
	CallerAnswer serve(RequestContext context, Function<RequestContext, CallerAnswer> run) {
		String key = context.request().headers().first(Headers.IDEMPOTENCY_KEY);
		if (key == null) {
			return Problem
				.notRun(Problem.Code.IDEMPOTENCY_KEY_NOT_VALID,
						"the route " + context.route().id() + " is not idempotent; send " + Headers.IDEMPOTENCY_KEY
								+ ": <dispatch token>.<a value of your own>")
				.toRefusal();
		}
		IdempotencyRegistry.DispatchDecision decision = this.registry.register(context.account().id(), key,
				RequestFingerprint.of(context.request()));
		if (decision instanceof IdempotencyRegistry.DispatchDecision.Dispatch dispatch) {
			return verifyNotRun(context, runAndCloseRecord(context, dispatch.openRecord(), run));
		}
		if (decision instanceof IdempotencyRegistry.DispatchDecision.Join join) {
			return verifyNotRun(context, awaitAnswer(join.answer(), context));
		}
		if (decision instanceof IdempotencyRegistry.DispatchDecision.Relay owner) {
			return this.relay.relay(owner.hostId(), owner.processId(), context.request(), context.deadlineMillis());
		}
		return verifyNotRun(context, ((IdempotencyRegistry.DispatchDecision.Refuse) decision).refusal());
	}

	// The record of a request that did not run has been removed by now, so a repeat may
	// have been dispatched under the same key before the caller gets this refusal.
	private CallerAnswer verifyNotRun(RequestContext context, CallerAnswer answer) {
		boolean notRun = answer instanceof CallerAnswer.Refused refused
				&& refused.problem().run() == Problem.Run.NOT_RUN;
		return notRun ? refuse(context.request(), ((CallerAnswer.Refused) answer).problem()) : answer;
	}

	private CallerAnswer runAndCloseRecord(RequestContext context, IdempotencyRegistry.OpenRecord record,
			Function<RequestContext, CallerAnswer> run) {
		CallerAnswer answer = Problem.unknown(Problem.Code.TARGET_FAILED, "an internal error ended the request")
			.toRefusal();
		try {
			answer = run.apply(context);
			return answer;
		}
		finally {
			if (answer instanceof CallerAnswer.Refused refused && refused.problem().run() == Problem.Run.NOT_RUN) {
				record.removeAsNotRun(refused);
			}
			else {
				record.complete(answer);
			}
		}
	}

	private CallerAnswer awaitAnswer(CompletableFuture<CallerAnswer> answer, RequestContext context) {
		try {
			return answer.get(Math.max(0, context.deadlineMillis() - this.clock.millis()), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Problem
				.unknown(Problem.Code.TARGET_FAILED,
						"interrupted while waiting for the first request with this idempotency key")
				.toRefusal();
		}
		catch (ExecutionException | TimeoutException ex) {
			return Problem
				.unknown(Problem.Code.TARGET_TIMEOUT, "the first request with this idempotency key has no answer yet")
				.toRefusal();
		}
	}

}
