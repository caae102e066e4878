package org.plantainspur.core.request;

import org.plantainspur.core.routing.CrossRegionTraffic;
import org.plantainspur.core.routing.Target;

/**
 * Counts the bytes of the requests and answers that another dispatcher exchanges with
 * targets in other regions. It counts methods, paths, queries, header fields and bodies,
 * without the overhead of HTTP and TCP. For an incomplete answer it counts the part of
 * the body that arrived; for a refusal by the target it counts the request only.
 */
public final class TrafficCountingDispatcher implements TargetDispatcher {

	private final TargetDispatcher dispatcher;

	private final CrossRegionTraffic traffic;

	/**
	 * Creates a dispatcher.
	 * @param dispatcher the dispatcher that sends the requests
	 * @param traffic the totals that the bytes are added to
	 */
	public TrafficCountingDispatcher(TargetDispatcher dispatcher, CrossRegionTraffic traffic) {
		this.dispatcher = dispatcher;
		this.traffic = traffic;
	}

	@Override
	public DispatchOutcome dispatch(Target target, CallerRequest request, boolean idempotent, long timeoutMillis) {
		DispatchOutcome outcome = this.dispatcher.dispatch(target, request, idempotent, timeoutMillis);
		if (this.traffic.isCrossRegion(target) && !(outcome instanceof DispatchOutcome.NotSent)) {
			this.traffic.recordDispatch(target, idempotent, bytes(request) + bytes(outcome));
		}
		return outcome;
	}

	private static long bytes(CallerRequest request) {
		return request.method().length() + request.path().length() + request.query().length()
				+ request.headers().length() + request.body().length;
	}

	private static long bytes(DispatchOutcome outcome) {
		if (outcome instanceof DispatchOutcome.Answered answered) {
			return answered.headers().length() + answered.body().length;
		}
		return (outcome instanceof DispatchOutcome.Unknown unknown) ? unknown.receivedBytes() : 0;
	}

}
