package org.plantainspur.core.target;

import org.plantainspur.core.time.Clock;

/**
 * Takes the results of attempts into what is known of the targets.
 */
public final class TargetResults {

	private final Clock clock;

	private final UsualTimes usualTimes = new UsualTimes();

	public TargetResults(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Records that a request is being sent.
	 * @param target the target
	 */
	public void sent(Target target) {
		target.sent();
	}

	/**
	 * Records how an attempt ended. Called once for each {@link #sent}.
	 * @param target the target
	 * @param route the name of the request's route
	 * @param outcome the result
	 * @param tookMs the time since the request was sent, in milliseconds
	 */
	public void ended(Target target, String route, AttemptOutcome outcome, long tookMs) {
		target.ended();
		long now = this.clock.millis();
		if (outcome instanceof AttemptOutcome.Answered answered) {
			if (answered.sound()) {
				target.took(tookMs / this.usualTimes.observe(route, tookMs), now);
				target.succeeded(now);
			}
			else {
				target.failed(now);
			}
		}
		else if (outcome instanceof AttemptOutcome.Declined declined) {
			if (declined.otherTarget()) {
				target.gone(now);
			}
		}
		else if (outcome instanceof AttemptOutcome.NotSent || outcome instanceof AttemptOutcome.Broken
				|| outcome instanceof AttemptOutcome.TimedOut) {
			target.failed(now);
		}
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
	 * Records that another host saw a target fail.
	 * @param target the target
	 */
	public void failedElsewhere(Target target) {
		target.failed(this.clock.millis());
	}

}
