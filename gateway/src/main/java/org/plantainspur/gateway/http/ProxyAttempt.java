package org.plantainspur.gateway.http;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.health.SequentialCrashQuarantine;
import org.plantainspur.core.target.AttemptOutcome;
import org.plantainspur.core.target.ObservedTarget;

/**
 * One attempt of a request at one target, on any path. Records its outcome and leaves the
 * decision what follows to its request. Confined to the event loop of the request.
 */
final class ProxyAttempt implements AttemptPath.Listener {

	/**
	 * An attempt counts as slow after this multiple of the typical duration of its route.
	 */
	private static final double SLOW_ATTEMPT_FACTOR = 4;

	/** No attempt counts as slow before this time. */
	private static final long MIN_SLOW_ATTEMPT_MS = 400;

	private final ProxyComponents components;

	private final EventLoop eventLoop;

	private final Request request;

	private final ObservedTarget target;

	private final AttemptPath path;

	private final String route;

	private final TargetMessageMapper targetMapper;

	private final long startedMs;

	private @Nullable ScheduledFuture<?> slowTimer;

	private boolean sent;

	private long sentMs;

	private boolean ended;

	/**
	 * Creates an attempt that has not begun.
	 * @param components the objects that all requests of the host use
	 * @param eventLoop the event loop of the request
	 * @param request the request, which decides what follows
	 * @param target the target
	 * @param path the path to the target, not open yet
	 * @param route the name of the request's route
	 */
	ProxyAttempt(ProxyComponents components, EventLoop eventLoop, Request request, ObservedTarget target,
			AttemptPath path, String route) {
		this.components = components;
		this.eventLoop = eventLoop;
		this.request = request;
		this.target = target;
		this.path = path;
		this.route = route;
		this.targetMapper = new TargetMessageMapper(components.headerNames());
		this.startedMs = components.clock().millis();
	}

	void start() {
		this.components.attemptRecorder().recordSent(this.target);
		this.path.open(this);
	}

	String targetId() {
		return this.target.listing().id();
	}

	boolean isSent() {
		return this.sent;
	}

	/**
	 * Returns the attempt as text for the log.
	 * @return the target, and the path unless it is direct
	 */
	String description() {
		return this.path.description().isEmpty() ? targetId() : targetId() + " " + this.path.description();
	}

	@Override
	public void notOpened(String reason) {
		end(new AttemptOutcome.NotSent(reason), false, null, Unpooled.EMPTY_BUFFER);
	}

	@Override
	public void overdue() {
		if (!this.ended) {
			this.request.pathOverdue(this);
		}
	}

	@Override
	public void opened() {
		if (this.components.targetPermits().isWithdrawn(this.target)) {
			end(new AttemptOutcome.Withheld(), false, null, Unpooled.EMPTY_BUFFER);
			return;
		}
		this.sent = true;
		this.sentMs = this.components.clock().millis();
		this.path.send(this.request.attemptSent(this));
		scheduleSlowCheck();
	}

	private void scheduleSlowCheck() {
		double typicalMs = this.components.attemptRecorder().typicalDurationMs(this.route);
		long slowAfterMs = (long) Math.max(MIN_SLOW_ATTEMPT_MS, typicalMs * SLOW_ATTEMPT_FACTOR);
		if (typicalMs > 0 && slowAfterMs < this.request.remainingMs()) {
			this.slowTimer = this.eventLoop.schedule(() -> handleSlowAttempt(typicalMs), slowAfterMs,
					TimeUnit.MILLISECONDS);
		}
	}

	private void handleSlowAttempt(double typicalMs) {
		if (!this.ended && !this.request.replaceSlowAttempt(this, typicalMs) && this.path.timedOut().concernsTarget()) {
			// The attempt goes on, but other requests should avoid the target meanwhile.
			this.components.attemptRecorder().recordOverdue(this.target);
			this.components.targetHealthListener().targetFailed(this.target);
		}
	}

	@Override
	public void responseReceived(HttpResponse response, ByteBuf body) {
		this.components.attemptRecorder().recordResponseBytes(this.route, body.readableBytes());
		AttemptOutcome outcome = this.targetMapper.toOutcome(response);
		new TargetResponseRecorder(this.components, this.targetMapper).record(this.target, response, outcome);
		end(outcome, false, response, body);
	}

	@Override
	public void ended(AttemptOutcome outcome) {
		end(outcome, false, null, Unpooled.EMPTY_BUFFER);
	}

	/** Ends the attempt because the request's deadline has passed. */
	void deadlineReached() {
		end(this.sent ? this.path.timedOut() : new AttemptOutcome.NotSent("no connection before the deadline"), true,
				null, Unpooled.EMPTY_BUFFER);
	}

	/** Ends the attempt because nobody waits for it. */
	void cancel() {
		leave(this.sent ? new AttemptOutcome.Cancelled() : new AttemptOutcome.NotSent("cancelled"));
	}

	/** Ends a slow attempt because another one takes its place. */
	void leaveSlow() {
		leave(this.sent ? this.path.timedOut()
				: new AttemptOutcome.NotSent("no answer to the connect in the usual time"));
	}

	private void leave(AttemptOutcome outcome) {
		recordOutcome(outcome);
		this.path.cancel();
	}

	private void end(AttemptOutcome outcome, boolean deadlineReached, @Nullable HttpResponse response, ByteBuf body) {
		if (this.ended) {
			body.release();
			return;
		}
		recordOutcome(outcome);
		if (response == null) {
			this.path.cancel();
		}
		this.request.attemptEnded(this, outcome, deadlineReached, response, body);
	}

	private void recordOutcome(AttemptOutcome outcome) {
		this.ended = true;
		ScheduledFuture<?> pending = this.slowTimer;
		if (pending != null) {
			pending.cancel(false);
		}
		recordInQuarantine(outcome);
		long tookMs = this.components.clock().millis() - this.startedMs;
		boolean wasSuspect = this.components.attemptRecorder().isSuspect(this.target);
		boolean failed = this.components.attemptRecorder().recordOutcome(this.target, this.route, outcome, tookMs);
		if (failed) {
			this.components.targetHealthListener().targetFailed(this.target);
		}
		else if (wasSuspect && outcome instanceof AttemptOutcome.Answered) {
			this.components.targetHealthListener().targetRecovered(this.target);
		}
		this.request.outcomeRecorded(this, outcome, tookMs);
	}

	private void recordInQuarantine(AttemptOutcome outcome) {
		SequentialCrashQuarantine quarantine = this.components.quarantine();
		if (outcome instanceof AttemptOutcome.ConnectionLost) {
			quarantine.recordCrash(this.request.fingerprint(), targetId(), this.sentMs);
			this.components.log()
				.event("target-connection-lost", "id", this.request.requestId(), "target", targetId(), "fingerprint",
						this.request.fingerprint());
		}
		else if (!quarantine.isEmpty()) {
			boolean completed = outcome instanceof AttemptOutcome.Answered;
			if (completed) {
				quarantine.recordCompletion(this.request.fingerprint());
			}
			if (completed || outcome instanceof AttemptOutcome.Declined) {
				quarantine.recordResponse(targetId(), this.sentMs);
			}
		}
	}

	/**
	 * The request that an attempt belongs to.
	 */
	interface Request {

		String requestId();

		String fingerprint();

		long remainingMs();

		/**
		 * Called when the request is about to be sent.
		 * @param attempt the attempt
		 * @return the request as the target gets it
		 */
		FullHttpRequest attemptSent(ProxyAttempt attempt);

		/**
		 * Called when the path takes longer to open than usual. The request may go
		 * another way, as nothing was sent.
		 * @param attempt the attempt
		 */
		void pathOverdue(ProxyAttempt attempt);

		/**
		 * Replaces an attempt that takes much longer than is typical, if possible.
		 * @param attempt the attempt
		 * @param typicalMs the typical duration of the route, in milliseconds
		 * @return whether another attempt has taken its place
		 */
		boolean replaceSlowAttempt(ProxyAttempt attempt, double typicalMs);

		/**
		 * Called once for each attempt, however it ends.
		 * @param attempt the attempt
		 * @param outcome its outcome
		 * @param tookMs how long it took, in milliseconds
		 */
		void outcomeRecorded(ProxyAttempt attempt, AttemptOutcome outcome, long tookMs);

		/**
		 * Called after {@link #outcomeRecorded} unless the request has ended the attempt
		 * itself.
		 * @param attempt the attempt
		 * @param outcome its outcome
		 * @param deadlineReached whether the request's deadline has passed
		 * @param response the target's response, {@code null} if there is none
		 * @param body the body of the response; the request takes over its reference
		 */
		void attemptEnded(ProxyAttempt attempt, AttemptOutcome outcome, boolean deadlineReached,
				@Nullable HttpResponse response, ByteBuf body);

	}

}
