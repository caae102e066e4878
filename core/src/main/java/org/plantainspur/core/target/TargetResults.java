package org.plantainspur.core.target;

import org.plantainspur.core.time.Clock;

/**
 * Takes the results of attempts into what is known of the targets.
 */
public final class TargetResults {

	/**
	 * A target is blamed for a request that ran out of time only if it took this many
	 * times the usual for its route. Routes with little time, or whose work never ends in
	 * time, would otherwise have their targets spared by all requests.
	 */
	private static final double OVERDUE_FACTOR = 2;

	private static final int DEADLINE_STATUS = 504;

	/** Below this a further success says little. */
	private static final double DOUBTED = 0.05;

	private final Clock clock;

	private final ServiceFailures failures = new ServiceFailures();

	private final UsualValues usualTimes = new UsualValues();

	private final UsualValues usualAnswerBytes = new UsualValues();

	public TargetResults(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Records that a request is being sent.
	 * @param target the target
	 */
	public void sent(Target target) {
		target.sent(this.clock.millis());
	}

	/**
	 * Records how an attempt ended. Called once for each {@link #sent}.
	 * @param target the target
	 * @param route the name of the request's route
	 * @param outcome the result
	 * @param tookMs the time since the request was sent, in milliseconds
	 * @return whether it counts as a failure of the target
	 */
	public boolean ended(Target target, String route, AttemptOutcome outcome, long tookMs) {
		target.ended();
		long now = this.clock.millis();
		String service = target.entry().service();
		if (outcome instanceof AttemptOutcome.Answered answered && answered.sound()) {
			target.took(tookMs / this.usualTimes.observe(route, tookMs), now);
			target.succeeded(now);
			this.failures.record(service, false);
		}
		else if (outcome instanceof AttemptOutcome.Declined declined) {
			if (declined.otherTarget()) {
				target.gone(now);
			}
			else {
				target.declined(now);
			}
		}
		else if (speaksAgainst(route, outcome, tookMs)) {
			target.failed(now);
			this.failures.record(service, true);
			return true;
		}
		return false;
	}

	private boolean speaksAgainst(String route, AttemptOutcome outcome, long tookMs) {
		if (outcome instanceof AttemptOutcome.Cancelled) {
			return false;
		}
		boolean outOfTime = outcome instanceof AttemptOutcome.TimedOut
				|| outcome instanceof AttemptOutcome.Answered answered && answered.status() == DEADLINE_STATUS;
		double usual = this.usualTimes.of(route);
		return !outOfTime || (usual > 0 && tookMs >= usual * OVERDUE_FACTOR);
	}

	/**
	 * Returns the share of a service's attempts that failed of late.
	 * @param service the service
	 * @return from 0 to 1
	 */
	public double failureShare(String service) {
		return this.failures.of(service);
	}

	/**
	 * Returns the usual time of a route's answers.
	 * @param route the route's name
	 * @return the time in milliseconds, 0 if there was no answer yet
	 */
	public double usualMs(String route) {
		return this.usualTimes.of(route);
	}

	/**
	 * Records the size of a route's answer.
	 * @param route the route's name
	 * @param bytes the size of the answer's body
	 */
	public void answerSize(String route, int bytes) {
		this.usualAnswerBytes.observe(route, bytes);
	}

	/**
	 * Returns the usual size of a route's answers.
	 * @param route the route's name
	 * @return the size of a body in bytes, 0 if there was no answer yet
	 */
	public double usualAnswerBytes(String route) {
		return this.usualAnswerBytes.of(route);
	}

	/**
	 * Records that a request takes much longer than usual and goes on.
	 * @param target the target that works on it
	 */
	public void overdue(Target target) {
		target.failed(this.clock.millis());
	}

	/**
	 * Records that another host saw a target fail.
	 * @param target the target
	 */
	public void failedElsewhere(Target target) {
		target.failed(this.clock.millis());
	}

	/**
	 * Records that another host saw a target answer well.
	 * @param target the target
	 */
	public void succeededElsewhere(Target target) {
		target.succeeded(this.clock.millis());
	}

	/**
	 * Returns whether a success of a target is news to other hosts.
	 * @param target the target
	 * @return {@code true} if the target was not known to be well
	 */
	public boolean doubted(Target target) {
		return target.belief().now(this.clock.millis()) > DOUBTED;
	}

}
