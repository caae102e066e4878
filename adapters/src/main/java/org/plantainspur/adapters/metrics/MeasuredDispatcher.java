package org.plantainspur.adapters.metrics;

import io.micrometer.core.instrument.MeterRegistry;

import org.plantainspur.core.request.CallerRequest;
import org.plantainspur.core.request.DispatchOutcome;
import org.plantainspur.core.request.TargetDispatcher;
import org.plantainspur.core.routing.Target;

/**
 * Dispatcher decorator that counts the outcomes of dispatches by service.
 */
final class MeasuredDispatcher implements TargetDispatcher {

	/**
	 * Maximum number of services with time series of their own. It is above the planned
	 * 790 services, so that none of them shares a series.
	 */
	private static final int MAXIMUM_SERVICES = 1000;

	private final TargetDispatcher dispatcher;

	private final BoundedCounters outcomes;

	MeasuredDispatcher(TargetDispatcher dispatcher, MeterRegistry registry) {
		this.dispatcher = dispatcher;
		this.outcomes = new BoundedCounters(registry, "plantainspur.dispatches", "service", "outcome",
				MAXIMUM_SERVICES);
	}

	@Override
	public DispatchOutcome dispatch(Target target, CallerRequest request, boolean idempotent, long timeoutMillis) {
		DispatchOutcome outcome = this.dispatcher.dispatch(target, request, idempotent, timeoutMillis);
		this.outcomes.of(target.service(), outcomeTag(outcome)).increment();
		return outcome;
	}

	private static String outcomeTag(DispatchOutcome outcome) {
		if (outcome instanceof DispatchOutcome.Answered answered) {
			return (answered.status() < 500) ? "answered" : "answered-with-error";
		}
		if (outcome instanceof DispatchOutcome.NotSent) {
			return "not-sent";
		}
		if (outcome instanceof DispatchOutcome.RefusedByTarget) {
			return "refused-by-target";
		}
		return switch (((DispatchOutcome.Unknown) outcome).cause()) {
			case TIMEOUT -> "timeout";
			case RESET -> "reset";
			case TOO_LARGE -> "too-large";
		};
	}

}
