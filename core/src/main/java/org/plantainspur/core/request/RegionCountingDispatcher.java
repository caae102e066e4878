package org.plantainspur.core.request;

import org.plantainspur.core.routing.CrossRegionTraffic;
import org.plantainspur.core.routing.Target;

/**
 * Counts the bytes of requests and answers that cross between regions. Counted are paths,
 * queries, header fields and bodies, without what HTTP and TCP add. Of an answer that
 * breaks off, the part of the body that arrived is counted; of a refusal by the target,
 * only the request.
 */
public final class RegionCountingDispatcher implements TargetDispatcher {

	private final TargetDispatcher dispatcher;

	private final CrossRegionTraffic traffic;

	/**
	 * Creates a dispatcher.
	 * @param dispatcher sends the requests
	 * @param traffic adds up the bytes
	 */
	public RegionCountingDispatcher(TargetDispatcher dispatcher, CrossRegionTraffic traffic) {
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
