package org.plantainspur.core.request;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

import org.plantainspur.core.once.OnceGate;
import org.plantainspur.core.time.Clock;

/**
 * Runs non-idempotent requests as the at-most-once records allow, and keeps refusals of
 * their repeats true.
 */
final class OnceRuns {

	private final Clock clock;

	private final OnceGate onceGate;

	private final RequestRelay relay;

	OnceRuns(Clock clock, OnceGate onceGate, RequestRelay relay) {
		this.clock = clock;
		this.onceGate = onceGate;
		this.relay = relay;
	}

	/**
	 * Refuses a request. A repeat of a non-idempotent request may be refused although an
	 * earlier one with the same key ran while the route or the caller's key was still
	 * valid.
	 * @param request the request
	 * @param problem the reason, for a request that has not run
	 * @return the refusal
	 */
	CallerAnswer refuse(CallerRequest request, Problem problem) {
		String key = request.headers().first(Headers.IDEMPOTENCY_KEY);
		boolean notRun = key == null || this.onceGate.certainlyNotRun(key);
		return (notRun ? problem : problem.mayHaveRun()).refuse();
	}

	/**
	 * Serves a request that may run at most once.
	 * @param context the request
	 * @param run runs it, called at most once
	 * @return the answer
	 */
	CallerAnswer serve(RequestContext context, Function<RequestContext, CallerAnswer> run) {
		String key = context.request().headers().first(Headers.IDEMPOTENCY_KEY);
		if (key == null) {
			return Problem
				.notRun(Problem.Code.IDEMPOTENCY_KEY_NOT_VALID,
						"the route " + context.route().id() + " is not idempotent; send " + Headers.IDEMPOTENCY_KEY
								+ ": <dispatch token>.<a value of your own>")
				.refuse();
		}
		OnceGate.OnceDecision decision = this.onceGate.enter(context.account().id(), key,
				RequestFingerprint.of(context.request()));
		if (decision instanceof OnceGate.OnceDecision.Dispatch dispatch) {
			return truthful(context, runWithTicket(context, dispatch.ticket(), run));
		}
		if (decision instanceof OnceGate.OnceDecision.Join join) {
			return truthful(context, await(join.answer(), context));
		}
		if (decision instanceof OnceGate.OnceDecision.Relay owner) {
			return this.relay.relay(owner.hostId(), owner.processId(), context.request(), context.deadlineMillis());
		}
		return truthful(context, ((OnceGate.OnceDecision.Refuse) decision).refusal());
	}

	// The record of a request that did not run is removed, after which a repeat with the
	// same key may be dispatched before the refusal is given.
	private CallerAnswer truthful(RequestContext context, CallerAnswer answer) {
		boolean notRun = answer instanceof CallerAnswer.Refused refused
				&& refused.problem().run() == Problem.Run.NOT_RUN;
		return notRun ? refuse(context.request(), ((CallerAnswer.Refused) answer).problem()) : answer;
	}

	private CallerAnswer runWithTicket(RequestContext context, OnceGate.Ticket ticket,
			Function<RequestContext, CallerAnswer> run) {
		CallerAnswer answer = Problem.unknown(Problem.Code.TARGET_FAILED, "an internal error ended the request")
			.refuse();
		try {
			answer = run.apply(context);
			return answer;
		}
		finally {
			if (answer instanceof CallerAnswer.Refused refused && refused.problem().run() == Problem.Run.NOT_RUN) {
				ticket.notRun(refused);
			}
			else {
				ticket.answered(answer);
			}
		}
	}

	private CallerAnswer await(CompletableFuture<CallerAnswer> answer, RequestContext context) {
		try {
			return answer.get(Math.max(0, context.deadlineMillis() - this.clock.millis()), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return Problem.unknown(Problem.Code.TARGET_FAILED, "interrupted while the first request runs").refuse();
		}
		catch (ExecutionException | TimeoutException ex) {
			return Problem.unknown(Problem.Code.TARGET_TIMEOUT, "the first request with this key still runs").refuse();
		}
	}

}
