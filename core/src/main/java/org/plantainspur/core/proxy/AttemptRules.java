package org.plantainspur.core.proxy;

import org.plantainspur.core.desired.RouteRule;
import org.plantainspur.core.target.AttemptOutcome;

/**
 * Decides what follows an attempt. A request that may have run is repeated only on an
 * idempotent route; one that certainly has not run may always go to another target.
 */
public final class AttemptRules {

	/**
	 * Connecting costs the target nothing, so it is not bounded by the route's attempts.
	 */
	static final int MAX_UNSENT_ATTEMPTS = 3;

	/** A service that declines this often has no room for seconds. */
	static final int MAX_DECLINED_ATTEMPTS = 4;

	private final RetryBudget budget;

	public AttemptRules(RetryBudget budget) {
		this.budget = budget;
	}

	/**
	 * Decides what follows an attempt.
	 * @param route the request's route
	 * @param service the service that runs it
	 * @param outcome how the attempt ended
	 * @param sentAttempts the attempts that have reached a target, this one included
	 * @param unsentAttempts the attempts that reached none
	 * @param timeIsUp whether the request's time has passed
	 * @return what to do next
	 */
	public Next after(RouteRule route, String service, AttemptOutcome outcome, int sentAttempts, int unsentAttempts,
			boolean timeIsUp) {
		if (outcome instanceof AttemptOutcome.Answered answered) {
			boolean repeat = !answered.sound() && route.idempotent() && !timeIsUp
					&& mayRepeat(route, service, sentAttempts);
			return repeat ? new Retry() : new Deliver();
		}
		if (outcome instanceof AttemptOutcome.NotSent) {
			return (!timeIsUp && unsentAttempts < MAX_UNSENT_ATTEMPTS) ? new Retry() : new Refuse(Refusal.NO_TARGET);
		}
		if (outcome instanceof AttemptOutcome.Declined) {
			if (timeIsUp || sentAttempts >= MAX_DECLINED_ATTEMPTS || !this.budget.tryTake(service)) {
				return new Refuse(Refusal.ALL_DECLINED);
			}
			return (sentAttempts < route.maxAttempts()) ? new Retry() : new RetryTried();
		}
		if (route.idempotent() && !timeIsUp && mayRepeat(route, service, sentAttempts)) {
			return new Retry();
		}
		return new Refuse((outcome instanceof AttemptOutcome.TimedOut) ? Refusal.TIMED_OUT : Refusal.BROKEN);
	}

	/**
	 * Returns whether the next attempt could be followed by another one if it failed. The
	 * last attempt of an idempotent request must be placed as carefully as the only one
	 * of another request.
	 * @param route the request's route
	 * @param service the service that runs it
	 * @param sentAttempts the attempts that have reached a target so far
	 * @return whether the route and the budget allow a further attempt
	 */
	public boolean repeatable(RouteRule route, String service, int sentAttempts) {
		return route.idempotent() && sentAttempts + 1 < route.maxAttempts() && this.budget.ample(service);
	}

	/**
	 * Decides whether an attempt that takes long is given up for another one.
	 * @param route the request's route
	 * @param service the service that runs it
	 * @param sentAttempts the attempts that have reached a target, this one included
	 * @return whether another attempt may be made; it is then taken out of the budget
	 */
	public boolean giveUpSlow(RouteRule route, String service, int sentAttempts) {
		return route.idempotent() && mayRepeat(route, service, sentAttempts);
	}

	private boolean mayRepeat(RouteRule route, String service, int sentAttempts) {
		return sentAttempts < route.maxAttempts() && this.budget.tryTake(service);
	}

	/**
	 * What follows an attempt.
	 */
	public sealed interface Next {

	}

	/** The target's answer goes to the caller. */
	public record Deliver() implements Next {
	}

	/** Another target is asked. */
	public record Retry() implements Next {
	}

	/**
	 * One of the targets that declined is asked again after a moment: the route allows no
	 * further target.
	 */
	public record RetryTried() implements Next {
	}

	/**
	 * The caller gets an answer of the host's own.
	 *
	 * @param refusal the answer
	 */
	public record Refuse(Refusal refusal) implements Next {
	}

}
