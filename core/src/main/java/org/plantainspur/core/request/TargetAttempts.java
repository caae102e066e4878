package org.plantainspur.core.request;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

import org.plantainspur.core.health.OutcomeRecorder;
import org.plantainspur.core.routing.TargetChooser;
import org.plantainspur.core.time.Clock;

/**
 * Sends an admitted request to one target after another until a target has answered, the
 * retry policy allows no further attempt or the deadline has passed.
 */
final class TargetAttempts {

	/** The lowest status of an answer that is recorded as a failure of the target. */
	private static final int SERVER_ERROR = 500;

	/** After how long a caller may retry when no target has taken its request. */
	private static final long NO_TARGET_RETRY_AFTER_MILLIS = 1000;

	/**
	 * The names of header fields that aren't copied to the target's request, in lower
	 * case: those that concern the caller's connection only (RFC 9110, section 7.6.1),
	 * those that the HTTP client sets itself, the caller's API key, and those that only
	 * the system may set.
	 */
	private static final Set<String> REMOVED_HEADERS = Set.of("connection", "keep-alive", "proxy-connection",
			"proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "host", "content-length", "expect",
			Headers.API_KEY.toLowerCase(Locale.ROOT), Headers.CLIENT_ACCOUNT.toLowerCase(Locale.ROOT),
			Headers.REQUEST_ID.toLowerCase(Locale.ROOT), Headers.DEADLINE.toLowerCase(Locale.ROOT));

	private final Clock clock;

	private final AccessCheck accessCheck;

	private final TargetChooser chooser;

	private final TargetDispatcher dispatcher;

	private final RetryPolicy retryPolicy;

	private final OutcomeRecorder recorder;

	TargetAttempts(Clock clock, AccessCheck accessCheck, TargetChooser chooser, TargetDispatcher dispatcher,
			RetryPolicy retryPolicy, OutcomeRecorder recorder) {
		this.clock = clock;
		this.accessCheck = accessCheck;
		this.chooser = chooser;
		this.dispatcher = dispatcher;
		this.retryPolicy = retryPolicy;
		this.recorder = recorder;
	}

	CallerAnswer run(RequestContext context) {
		Set<String> tried = new HashSet<>();
		while (true) {
			Problem refusal = this.accessCheck.check(context);
			if (refusal != null) {
				return context.refuse(refusal);
			}
			TargetChooser.TargetLease lease = this.chooser.choose(context.route().service(), tried);
			if (lease == null) {
				return context.finalAnswer(context.noCapacityProblem(NO_TARGET_RETRY_AFTER_MILLIS));
			}
			DispatchOutcome outcome = dispatch(context, lease);
			tried.add(lease.target().id());
			context.recordOutcome(outcome);
			if (!this.retryPolicy.shouldRetry(context.route().service(), !context.atMostOnce(), outcome,
					context.attempts()) || this.clock.millis() >= context.deadlineMillis()) {
				return context.finalAnswer(context.noCapacityProblem(NO_TARGET_RETRY_AFTER_MILLIS));
			}
		}
	}

	private DispatchOutcome dispatch(RequestContext context, TargetChooser.TargetLease lease) {
		try (lease) {
			long startedMillis = this.clock.millis();
			long remainingMillis = context.deadlineMillis() - startedMillis;
			if (remainingMillis <= 0) {
				return new DispatchOutcome.NotSent("the deadline has passed");
			}
			DispatchOutcome outcome;
			try (OutcomeRecorder.InFlightDispatch running = this.recorder.dispatchStarted(lease.target(),
					context.account().id())) {
				outcome = this.dispatcher.dispatch(lease.target(), targetRequest(context, remainingMillis),
						!context.atMostOnce(), remainingMillis);
			}
			record(context, lease, outcome, this.clock.millis() - startedMillis);
			return outcome;
		}
	}

	private CallerRequest targetRequest(RequestContext context, long remainingMillis) {
		CallerRequest request = context.request();
		Headers headers = request.headers()
			.without(REMOVED_HEADERS)
			.with(new Headers.Field(Headers.CLIENT_ACCOUNT, context.account().id()),
					new Headers.Field(Headers.REQUEST_ID, context.requestId()),
					new Headers.Field(Headers.DEADLINE, Long.toString(remainingMillis)));
		return new CallerRequest(request.method(), request.path(), request.query(), headers, request.body(), "",
				request.receivedMillis());
	}

	private void record(RequestContext context, TargetChooser.TargetLease lease, DispatchOutcome outcome,
			long latencyMillis) {
		OutcomeRecorder.Kind kind = kind(outcome);
		this.recorder.record(new OutcomeRecorder.Outcome(lease.target(), context.account().id(),
				context.quarantineFingerprint(), kind, latencyMillis));
		if (announcesDraining(outcome)) {
			this.recorder.targetLeaving(lease.target());
		}
	}

	private static boolean announcesDraining(DispatchOutcome outcome) {
		if (outcome instanceof DispatchOutcome.Answered answered) {
			return "draining".equals(answered.headers().first(Headers.TARGET_STATE));
		}
		return outcome instanceof DispatchOutcome.RefusedByTarget refused && refused.draining();
	}

	private static OutcomeRecorder.Kind kind(DispatchOutcome outcome) {
		if (outcome instanceof DispatchOutcome.Answered answered) {
			return (answered.status() < SERVER_ERROR) ? OutcomeRecorder.Kind.SUCCESS : OutcomeRecorder.Kind.FAILURE;
		}
		if (outcome instanceof DispatchOutcome.NotSent) {
			return OutcomeRecorder.Kind.CONNECT_FAILURE;
		}
		if (outcome instanceof DispatchOutcome.RefusedByTarget) {
			return OutcomeRecorder.Kind.SHED;
		}
		return switch (((DispatchOutcome.Unknown) outcome).cause()) {
			case TIMEOUT -> OutcomeRecorder.Kind.TIMEOUT;
			case RESET -> OutcomeRecorder.Kind.RESET;
			// The target answered; only the size limit of this host was exceeded.
			case TOO_LARGE -> OutcomeRecorder.Kind.SUCCESS;
		};
	}

}
