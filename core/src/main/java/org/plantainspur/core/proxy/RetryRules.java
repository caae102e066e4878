package org.plantainspur.core.proxy;

import org.plantainspur.core.desired.RouteRule;
import org.plantainspur.core.target.AttemptOutcome;

/**
 * Decides the next step after an attempt. A request that may have run is retried only on
 * an idempotent route; one that certainly has not run may always be sent to another
 * target.
 */
public final class RetryRules {

	/**
	 * The limit of attempts that reached no target. They cost a target nothing, so the
	 * route's limit of attempts does not apply to them. Leaves room for a closed path and
	 * for hosts that cannot relay.
	 */
	static final int MAX_UNSENT_ATTEMPTS = 5;

	/**
	 * The limit of attempts that reached a target, if the targets decline the request. A
	 * service that declines a request this often has no free slots for seconds.
	 */
	static final int MAX_DECLINED_ATTEMPTS = 4;

	private final RetryBudget budget;

	public RetryRules(RetryBudget budget) {
		this.budget = budget;
	}

	/**
	 * Decides the next step after an attempt.
	 * @param route the request's route
	 * @param service the name of the service that runs it
	 * @param outcome how the attempt ended
	 * @param sentAttempts the number of attempts that have reached a target, this one
	 * included
	 * @param unsentAttempts the number of attempts that reached no target, this one
	 * included
	 * @param deadlinePassed whether the request's deadline has passed
	 * @return the next step
	 */
	public NextStep nextStep(RouteRule route, String service, AttemptOutcome outcome, int sentAttempts,
			int unsentAttempts, boolean deadlinePassed) {
		if (outcome instanceof AttemptOutcome.Answered answered) {
			boolean retry = !answered.sound() && route.idempotent() && !deadlinePassed
					&& tryRetry(route, service, sentAttempts);
			return retry ? new Retry() : new Deliver();
		}
		if (outcome instanceof AttemptOutcome.NotSent || outcome instanceof AttemptOutcome.Withheld) {
			return (!deadlinePassed && unsentAttempts < MAX_UNSENT_ATTEMPTS) ? new Retry()
					: new Refuse(Refusal.NO_TARGET);
		}
		if (outcome instanceof AttemptOutcome.Declined) {
			if (deadlinePassed || sentAttempts >= MAX_DECLINED_ATTEMPTS || !this.budget.tryTake(service)) {
				return new Refuse(Refusal.ALL_DECLINED);
			}
			return (sentAttempts < route.maxAttempts()) ? new Retry() : new RetrySameTargets();
		}
		if (route.idempotent() && !deadlinePassed && tryRetry(route, service, sentAttempts)) {
			return new Retry();
		}
		boolean timedOut = outcome instanceof AttemptOutcome.TimedOut
				|| outcome instanceof AttemptOutcome.RelayLost lost && lost.timedOut();
		return new Refuse(timedOut ? Refusal.TIMED_OUT : Refusal.BROKEN);
	}

	/**
	 * Returns whether an attempt whose connection takes long to open may be given up for
	 * one on another path.
	 * @param unsentAttempts the number of attempts that reached no target, this one
	 * included
	 * @return {@code false} if it should wait for its connection
	 */
	public boolean mayLeaveSlowPath(int unsentAttempts) {
		return unsentAttempts < MAX_UNSENT_ATTEMPTS;
	}

	/**
	 * Returns whether a retry could follow if the next attempt failed. The target of the
	 * last attempt of an idempotent request must be selected as carefully as that of a
	 * request that must not be retried.
	 * @param route the request's route
	 * @param service the name of the service that runs it
	 * @param sentAttempts the number of attempts that have reached a target so far
	 * @return whether the route and the retry budget allow a retry after the next attempt
	 */
	public boolean mayRetryAgain(RouteRule route, String service, int sentAttempts) {
		return route.idempotent() && sentAttempts + 1 < route.maxAttempts() && this.budget.hasSurplus(service);
	}

	/**
	 * Decides whether a slow attempt may be abandoned and replaced by another one.
	 * @param route the request's route
	 * @param service the name of the service that runs it
	 * @param sentAttempts the number of attempts that have reached a target, this one
	 * included
	 * @return whether another attempt may be made; if so, it has been taken out of the
	 * retry budget
	 */
	public boolean tryReplaceSlowAttempt(RouteRule route, String service, int sentAttempts) {
		return route.idempotent() && tryRetry(route, service, sentAttempts);
	}

	private boolean tryRetry(RouteRule route, String service, int sentAttempts) {
		return sentAttempts < route.maxAttempts() && this.budget.tryTake(service);
	}

	/**
	 * The step that follows an attempt.
	 */
	public sealed interface NextStep {

	}

	/** Delivers the target's response to the caller. */
	public record Deliver() implements NextStep {
	}

	/** Sends the request to another target. */
	public record Retry() implements NextStep {
	}

	/**
	 * Sends the request again, after a short wait, to one of the targets that declined
	 * it: the route allows no further target.
	 */
	public record RetrySameTargets() implements NextStep {
	}

	/**
	 * Answers the caller with a refusal of the host itself.
	 *
	 * @param refusal the reason, with the response to the caller
	 */
	public record Refuse(Refusal refusal) implements NextStep {
	}

}
