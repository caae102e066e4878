package org.plantainspur.core.target;

import org.plantainspur.core.time.Clock;

/**
 * Records the outcomes of attempts in the observed state of targets, services and routes.
 * Thread-safe.
 */
public final class AttemptRecorder {

	/**
	 * A timeout counts as a failure of the target only if the attempt took at least this
	 * many times the typical duration of its route. Otherwise a route whose timeout is
	 * shorter than its usual work would make all requests avoid its targets.
	 */
	private static final double OVERDUE_FACTOR = 2;

	private static final int GATEWAY_TIMEOUT_STATUS = 504;

	/**
	 * Probability of being unhealthy above which a target is suspect, so that its next
	 * success is reported to other hosts.
	 */
	private static final double SUSPECT_PROBABILITY = 0.05;

	private final Clock clock;

	private final ServiceFailureRates failureRates = new ServiceFailureRates();

	private final RouteAverages typicalDurations = new RouteAverages();

	private final RouteAverages typicalResponseBytes = new RouteAverages();

	public AttemptRecorder(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Records that a request is being sent to a target.
	 * @param target the observed target
	 */
	public void recordSent(ObservedTarget target) {
		target.recordSent(this.clock.millis());
	}

	/**
	 * Records the outcome of an attempt. Must be called exactly once for each
	 * {@link #recordSent}.
	 * @param target the observed target
	 * @param route the name of the request's route
	 * @param outcome how the attempt ended
	 * @param durationMs the time since the request was sent, in milliseconds
	 * @return whether the outcome counts as a failure of the target
	 */
	public boolean recordOutcome(ObservedTarget target, String route, AttemptOutcome outcome, long durationMs) {
		target.recordEnd();
		long now = this.clock.millis();
		String service = target.listing().service();
		if (outcome instanceof AttemptOutcome.Answered answered && answered.sound()) {
			target.recordDuration(durationMs / this.typicalDurations.observe(route, durationMs), now);
			target.recordSuccess(now);
			this.failureRates.record(service, false);
		}
		else if (outcome instanceof AttemptOutcome.Declined declined) {
			if (declined.otherTarget()) {
				target.recordMisdirected(now);
			}
			else {
				target.recordDecline(now);
			}
		}
		else if (countsAsFailure(route, outcome, durationMs)) {
			target.recordFailure(now);
			this.failureRates.record(service, true);
			return true;
		}
		return false;
	}

	private boolean countsAsFailure(String route, AttemptOutcome outcome, long durationMs) {
		if (!outcome.concernsTarget()) {
			return false;
		}
		boolean timedOut = outcome instanceof AttemptOutcome.TimedOut
				|| outcome instanceof AttemptOutcome.Answered answered && answered.status() == GATEWAY_TIMEOUT_STATUS;
		double typicalMs = this.typicalDurations.average(route);
		return !timedOut || (typicalMs > 0 && durationMs >= typicalMs * OVERDUE_FACTOR);
	}

	/**
	 * Returns the recent failure rate of a service's attempts. Attempts that were
	 * declined, cancelled or timed out too early to count as failures are left out.
	 * @param service the service's name
	 * @return the fraction of attempts that failed, from 0 to 1; 0 for a service without
	 * attempts
	 */
	public double failureRate(String service) {
		return this.failureRates.rate(service);
	}

	/**
	 * Returns the typical duration of a route's successful responses.
	 * @param route the route's name
	 * @return the duration in milliseconds, 0 if there was no response yet
	 */
	public double typicalDurationMs(String route) {
		return this.typicalDurations.average(route);
	}

	/**
	 * Records the size of a response of a route.
	 * @param route the route's name
	 * @param bytes the size of the response's body in bytes
	 */
	public void recordResponseBytes(String route, int bytes) {
		this.typicalResponseBytes.observe(route, bytes);
	}

	/**
	 * Returns the typical size of a route's responses.
	 * @param route the route's name
	 * @return the size of a body in bytes, 0 if there was no response yet
	 */
	public double typicalResponseBytes(String route) {
		return this.typicalResponseBytes.average(route);
	}

	/**
	 * Records that a request takes much longer than is typical and still runs. Counts as
	 * a failure in the target's health estimate.
	 * @param target the target that runs the request
	 */
	public void recordOverdue(ObservedTarget target) {
		target.recordFailure(this.clock.millis());
	}

	/**
	 * Records that another host observed a failure of a target.
	 * @param target the observed target
	 */
	public void recordRemoteFailure(ObservedTarget target) {
		target.recordFailure(this.clock.millis());
	}

	/**
	 * Records that another host observed a success of a target.
	 * @param target the observed target
	 */
	public void recordRemoteSuccess(ObservedTarget target) {
		target.recordSuccess(this.clock.millis());
	}

	/**
	 * Returns whether a target may be unhealthy, so that its next success must be
	 * reported to other hosts.
	 * @param target the observed target
	 * @return {@code false} if the target is almost certainly healthy
	 */
	public boolean isSuspect(ObservedTarget target) {
		return target.healthEstimate().unhealthyAt(this.clock.millis()) > SUSPECT_PROBABILITY;
	}

}
