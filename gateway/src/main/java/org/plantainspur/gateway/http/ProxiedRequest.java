package org.plantainspur.gateway.http;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.desired.AccountRule;
import org.plantainspur.core.desired.DesiredState;
import org.plantainspur.core.desired.RouteRule;
import org.plantainspur.core.health.SequentialCrashQuarantine;
import org.plantainspur.core.proxy.AdmissionControl;
import org.plantainspur.core.proxy.Refusal;
import org.plantainspur.core.proxy.RetryRules;
import org.plantainspur.core.request.RequestFingerprint;
import org.plantainspur.core.target.AttemptOutcome;
import org.plantainspur.core.target.ObservedTarget;
import org.plantainspur.core.target.TargetSelector;

/**
 * Carries one request of a caller from its arrival to its response: admission, the
 * attempts at targets, and the deadline. Confined to the event loop of the caller's
 * connection.
 */
final class ProxiedRequest {

	/**
	 * Subtracted from the deadline that a target is given, so that a response that the
	 * target sends at its deadline arrives before this host's own.
	 */
	private static final long DEADLINE_MARGIN_MS = 20;

	/**
	 * An attempt counts as slow after this multiple of the typical duration of its route.
	 */
	private static final double SLOW_ATTEMPT_FACTOR = 4;

	/**
	 * The longest time that a request waits for a starting host to read the store. If the
	 * store can be reached, it has been read within this time.
	 */
	private static final long MAX_STARTUP_WAIT_MS = 1_000;

	/**
	 * A request waits for the startup for at most its deadline divided by this number, so
	 * that its caller can still use another host if the store cannot be reached.
	 */
	private static final long STARTUP_WAIT_DIVISOR = 4;

	/**
	 * Delay before a target that declined the request is asked again. A full queue has
	 * room again within a fraction of a request's duration.
	 */
	private static final long DECLINED_RETRY_DELAY_MS = 100;

	/** No attempt counts as slow before this time. */
	private static final long MIN_SLOW_ATTEMPT_MS = 400;

	private final ProxyComponents components;

	private final EventLoop eventLoop;

	private final AttemptPaths paths;

	private final FullHttpRequest request;

	private final CallerMessageMapper callerMapper;

	private final TargetMessageMapper targetMapper;

	private final TargetResponseRecorder responseRecorder;

	private final ResponseWriter responseWriter;

	private final int bodyBytes;

	private final long arrivedMs;

	private final String requestId;

	private final Set<String> triedTargets = new HashSet<>();

	/**
	 * Whether the next attempts go to the targets that have declined the request, instead
	 * of targets that have not been tried.
	 */
	private boolean retryTriedTargets;

	private final StringBuilder attemptLog = new StringBuilder();

	private @Nullable RouteRule route;

	private @Nullable AccountRule account;

	/** Computed when it is first needed. */
	private String fingerprint = "";

	private String service = "";

	private long desiredStateVersion;

	private long deadlineMs;

	private int sentAttempts;

	private int unsentAttempts;

	private @Nullable Attempt currentAttempt;

	private @Nullable ScheduledFuture<?> timer;

	private boolean admissionStarted;

	private boolean mayHaveRun;

	private boolean finished;

	ProxiedRequest(ProxyComponents components, EventLoop eventLoop, AttemptPaths paths, FullHttpRequest request,
			long arrivedMs, ResponseWriter responseWriter) {
		this.components = components;
		this.eventLoop = eventLoop;
		this.paths = paths;
		this.request = request;
		this.bodyBytes = request.content().readableBytes();
		this.callerMapper = new CallerMessageMapper(components.headerNames(), request);
		this.targetMapper = new TargetMessageMapper(components.headerNames());
		this.responseRecorder = new TargetResponseRecorder(components, this.targetMapper);
		this.responseWriter = responseWriter;
		this.arrivedMs = arrivedMs;
		this.requestId = this.callerMapper.requestId();
	}

	void start() {
		if (this.components.startupLatch().isOpen() || this.components.shutdown().refusingRequests()) {
			admit();
			return;
		}
		long waitMs = Math.min(MAX_STARTUP_WAIT_MS, this.callerMapper.deadlineMs() / STARTUP_WAIT_DIVISOR);
		this.timer = this.eventLoop.schedule(this::admit, waitMs, TimeUnit.MILLISECONDS);
		this.components.startupLatch().whenOpen(() -> this.eventLoop.execute(this::admit));
	}

	private void admit() {
		if (this.admissionStarted || this.finished) {
			return;
		}
		this.admissionStarted = true;
		ScheduledFuture<?> startupWait = this.timer;
		if (startupWait != null) {
			startupWait.cancel(false);
		}
		DesiredState state = this.components.desiredState().current();
		this.desiredStateVersion = state.version();
		DecoderResult decoderResult = this.request.decoderResult();
		if (decoderResult.isFailure() || !this.request.uri().startsWith("/")) {
			refuse(refusalOf(decoderResult.cause()));
			return;
		}
		if (this.components.shutdown().refusingRequests()) {
			refuse(Refusal.STOPPING);
			return;
		}
		String host = this.request.headers().get(HttpHeaderNames.HOST, "");
		AdmissionControl.Decision decision = this.components.admission()
			.decide(state, host, this.request.uri(), this.callerMapper.apiKey());
		if (decision instanceof AdmissionControl.Refused refused) {
			this.account = refused.account();
			refuse(refused.refusal());
		}
		else if (decision instanceof AdmissionControl.Admitted admitted) {
			this.route = admitted.route();
			this.account = admitted.account();
			this.service = admitted.service();
			this.deadlineMs = this.arrivedMs + Math.min(this.callerMapper.deadlineMs(), admitted.route().timeoutMs());
			this.timer = this.eventLoop.schedule(this::deadlineReached, remainingMs(), TimeUnit.MILLISECONDS);
			this.components.retryBudget().earn(this.service);
			startAttempt(admitted.route());
		}
	}

	private static Refusal refusalOf(@Nullable Throwable decoderFailure) {
		if (decoderFailure instanceof BudgetedByteBuf.ExhaustedException) {
			return Refusal.NO_MEMORY;
		}
		return (decoderFailure instanceof TooLongFrameException) ? Refusal.HEADERS_TOO_LARGE : Refusal.MALFORMED;
	}

	private long remainingMs() {
		return this.deadlineMs - this.components.clock().millis();
	}

	private void startAttempt(RouteRule admittedRoute) {
		if (!this.components.quarantine().isEmpty() && this.components.quarantine().quarantined(fingerprint())) {
			refuse(Refusal.QUARANTINED);
			return;
		}
		boolean retryable = mayRetryAgain(admittedRoute);
		TargetSelector.Selection selection = select(admittedRoute, retryable);
		if (selection == null) {
			refuseWithoutTarget();
		}
		else {
			startAttempt(admittedRoute, selection, retryable);
		}
	}

	private boolean mayRetryAgain(RouteRule admittedRoute) {
		return this.components.retryRules().mayRetryAgain(admittedRoute, this.service, this.sentAttempts);
	}

	private TargetSelector.@Nullable Selection select(RouteRule admittedRoute, boolean retryable) {
		return this.components.targetSelector()
			.select(this.service,
					(candidate) -> this.triedTargets.contains(candidate.listing().id()) == this.retryTriedTargets,
					new TargetSelector.AttemptProfile(admittedRoute.name(), retryable, this.bodyBytes,
							this.paths.openConnections(this.requestId, retryable)));
	}

	private void startAttempt(RouteRule admittedRoute, TargetSelector.Selection selection, boolean retryable) {
		Attempt attempt = new Attempt(selection.target(), this.paths.create(selection, this.requestId, retryable),
				admittedRoute);
		this.currentAttempt = attempt;
		this.components.attemptRecorder().recordSent(selection.target());
		attempt.path.open(attempt);
	}

	private void refuseWithoutTarget() {
		long limitedMs = this.components.targetPermits().retryAfterMs(this.service);
		long relaysBusyMs = this.components.paths().directPaths().isCutOff()
				? this.components.paths().relayHosts().retryAfterMs() : 0;
		if (limitedMs > 0) {
			refuse(Refusal.TARGETS_LIMITED, limitedMs);
		}
		else if (relaysBusyMs > 0) {
			refuse(Refusal.RELAYS_BUSY, relaysBusyMs);
		}
		else {
			refuse((this.sentAttempts > 0) ? Refusal.ALL_DECLINED : Refusal.NO_TARGET);
		}
	}

	private String fingerprint() {
		if (this.fingerprint.isEmpty()) {
			AccountRule requestAccount = this.account;
			this.fingerprint = RequestFingerprint.of((requestAccount != null) ? requestAccount.name() : "",
					this.request.method().name(), this.request.uri(), this.request.content().nioBuffer());
		}
		return this.fingerprint;
	}

	private void deadlineReached() {
		Attempt runningAttempt = this.currentAttempt;
		if (runningAttempt != null) {
			runningAttempt.end(runningAttempt.sent ? runningAttempt.path.timedOut()
					: new AttemptOutcome.NotSent("no connection before the deadline"), true);
		}
		else {
			refuse(Refusal.NO_ROOM);
		}
	}

	/**
	 * Called when the caller does not wait for the response any more. Cancels the running
	 * attempt if it may be cancelled, and ends the request.
	 * @param outcome why, for the log
	 */
	void abandon(String outcome) {
		if (this.finished) {
			return;
		}
		Attempt runningAttempt = this.currentAttempt;
		RouteRule admittedRoute = this.route;
		boolean cancellable = admittedRoute != null && admittedRoute.idempotent();
		if (runningAttempt != null && (cancellable || !runningAttempt.sent)) {
			runningAttempt.cancel();
		}
		if (runningAttempt == null || cancellable || !runningAttempt.sent) {
			finish(outcome, 0);
		}
		// A sent request of a route that is not idempotent runs on, as its work cannot be
		// redone.
	}

	/**
	 * Called when the process is about to end. Answers the request with a refusal that
	 * says whether it may have run.
	 */
	void endForShutdown() {
		Attempt runningAttempt = this.currentAttempt;
		if (runningAttempt != null) {
			runningAttempt.cancel();
		}
		refuse(Refusal.STOPPING);
	}

	private void proceed(RetryRules.NextStep next, @Nullable HttpResponse response, ByteBuf body) {
		RouteRule admittedRoute = this.route;
		if (next instanceof RetryRules.Retry && admittedRoute != null) {
			startAttempt(admittedRoute);
		}
		else if (next instanceof RetryRules.RetrySameTargets && admittedRoute != null) {
			this.retryTriedTargets = true;
			this.eventLoop.schedule(() -> {
				if (!this.finished && this.currentAttempt == null) {
					startAttempt(admittedRoute);
				}
			}, DECLINED_RETRY_DELAY_MS, TimeUnit.MILLISECONDS);
		}
		else if (next instanceof RetryRules.Refuse refuse) {
			refuse(refuse.refusal());
		}
		else if (response != null) {
			deliver(response, body);
		}
	}

	private void deliver(HttpResponse response, ByteBuf body) {
		this.responseWriter.write(this.callerMapper.toCallerResponse(response, body));
		finish("answered", response.status().code());
	}

	private void refuse(Refusal reason) {
		refuse(reason, reason.retryAfterMs());
	}

	private void refuse(Refusal reason, long retryAfterMs) {
		if (this.finished) {
			return;
		}
		// After an attempt that may have run, no refusal may claim that the request has
		// not.
		Refusal refusal = (this.mayHaveRun && reason.notRun()) ? Refusal.BROKEN : reason;
		this.responseWriter.write(this.callerMapper.toRefusalResponse(refusal,
				(refusal == reason) ? retryAfterMs : refusal.retryAfterMs()));
		finish(refusal.name().toLowerCase(Locale.ROOT).replace('_', '-'), refusal.status());
	}

	private void finish(String outcome, int status) {
		if (this.finished) {
			return;
		}
		this.finished = true;
		this.currentAttempt = null;
		ScheduledFuture<?> pending = this.timer;
		if (pending != null) {
			pending.cancel(false);
		}
		this.components.bufferBudget().release(this.bodyBytes);
		this.request.release();
		long tookMs = this.components.clock().millis() - this.arrivedMs;
		AccountRule requestAccount = this.account;
		RouteRule admittedRoute = this.route;
		String accountName = (requestAccount != null) ? requestAccount.name() : "";
		this.components.metrics().count("requests_total", outcome);
		this.components.metrics().recordLatency(accountName, tookMs);
		this.components.log()
			.event("request", "id", this.requestId, "outcome", outcome, "status", status, "tookMs", tookMs, "account",
					accountName, "route", (admittedRoute != null) ? admittedRoute.name() : "", "service", this.service,
					"version", this.desiredStateVersion, "attempts", this.attemptLog);
	}

	/**
	 * Sends the response of a request to its caller.
	 */
	interface ResponseWriter {

		void write(FullHttpResponse response);

	}

	private final class Attempt implements AttemptPath.Listener {

		private final ObservedTarget target;

		private final AttemptPath path;

		private final RouteRule admittedRoute;

		private final long startedMs = ProxiedRequest.this.components.clock().millis();

		private @Nullable ScheduledFuture<?> slowTimer;

		private boolean sent;

		private long sentMs;

		private boolean ended;

		private Attempt(ObservedTarget target, AttemptPath path, RouteRule admittedRoute) {
			this.target = target;
			this.path = path;
			this.admittedRoute = admittedRoute;
		}

		@Override
		public void notOpened(String reason) {
			end(new AttemptOutcome.NotSent(reason), false);
		}

		// The request goes another way if there is one; nothing was sent on this one.
		@Override
		public void overdue() {
			if (!ProxiedRequest.this.components.retryRules().mayLeaveSlowPath(ProxiedRequest.this.unsentAttempts + 1)) {
				return;
			}
			boolean retryable = mayRetryAgain(this.admittedRoute);
			TargetSelector.Selection other = select(this.admittedRoute, retryable);
			if (other != null) {
				ProxiedRequest.this.unsentAttempts++;
				recordOutcome(new AttemptOutcome.NotSent("no answer to the connect in the usual time"));
				this.path.cancel();
				startAttempt(this.admittedRoute, other, retryable);
			}
		}

		@Override
		public void opened() {
			if (ProxiedRequest.this.components.targetPermits().isWithdrawn(this.target)) {
				end(new AttemptOutcome.Withheld(), false);
				return;
			}
			this.sent = true;
			this.sentMs = ProxiedRequest.this.components.clock().millis();
			ProxiedRequest.this.sentAttempts++;
			ProxiedRequest.this.triedTargets.add(this.target.listing().id());
			this.path.send(ProxiedRequest.this.targetMapper.toTargetRequest(ProxiedRequest.this.request,
					ProxiedRequest.this.account, this.target.listing().id(), remainingMs() - DEADLINE_MARGIN_MS));
			scheduleSlowCheck();
		}

		private void scheduleSlowCheck() {
			double typicalMs = ProxiedRequest.this.components.attemptRecorder()
				.typicalDurationMs(this.admittedRoute.name());
			long slowAfterMs = (long) Math.max(MIN_SLOW_ATTEMPT_MS, typicalMs * SLOW_ATTEMPT_FACTOR);
			if (typicalMs > 0 && slowAfterMs < remainingMs()) {
				this.slowTimer = ProxiedRequest.this.eventLoop.schedule(() -> handleSlowAttempt(typicalMs), slowAfterMs,
						TimeUnit.MILLISECONDS);
			}
		}

		private void handleSlowAttempt(double typicalMs) {
			if (this.ended) {
				return;
			}
			boolean replace = typicalMs < remainingMs() && ProxiedRequest.this.components.retryRules()
				.tryReplaceSlowAttempt(this.admittedRoute, ProxiedRequest.this.service,
						ProxiedRequest.this.sentAttempts);
			if (replace) {
				recordOutcome(this.path.timedOut());
				this.path.cancel();
				startAttempt(this.admittedRoute);
			}
			else if (this.path.timedOut().concernsTarget()) {
				// The attempt goes on, but other requests should avoid the target
				// meanwhile.
				ProxiedRequest.this.components.attemptRecorder().recordOverdue(this.target);
				ProxiedRequest.this.components.targetHealthListener().targetFailed(this.target);
			}
		}

		@Override
		public void responseReceived(HttpResponse response, ByteBuf body) {
			ProxiedRequest.this.components.attemptRecorder()
				.recordResponseBytes(this.admittedRoute.name(), body.readableBytes());
			AttemptOutcome outcome = ProxiedRequest.this.targetMapper.toOutcome(response);
			ProxiedRequest.this.responseRecorder.record(this.target, response, outcome);
			end(outcome, false, response, body);
		}

		@Override
		public void ended(AttemptOutcome outcome) {
			end(outcome, false);
		}

		private void cancel() {
			recordOutcome(this.sent ? new AttemptOutcome.Cancelled() : new AttemptOutcome.NotSent("cancelled"));
			this.path.cancel();
		}

		private void end(AttemptOutcome outcome, boolean deadlineReached) {
			end(outcome, deadlineReached, null, Unpooled.EMPTY_BUFFER);
		}

		private void end(AttemptOutcome outcome, boolean deadlineReached, @Nullable HttpResponse response,
				ByteBuf body) {
			if (this.ended) {
				body.release();
				return;
			}
			recordOutcome(outcome);
			if (response == null) {
				this.path.cancel();
			}
			countAttempt(outcome);
			if (ProxiedRequest.this.finished) {
				body.release();
				return;
			}
			ProxiedRequest.this.currentAttempt = null;
			RetryRules.NextStep next = ProxiedRequest.this.components.retryRules()
				.nextStep(this.admittedRoute, ProxiedRequest.this.service, outcome, ProxiedRequest.this.sentAttempts,
						ProxiedRequest.this.unsentAttempts, deadlineReached || remainingMs() <= DEADLINE_MARGIN_MS);
			if (!(next instanceof RetryRules.Deliver)) {
				body.release();
			}
			proceed(next, response, body);
		}

		// An attempt that another host did not pass on has reached no target.
		private void countAttempt(AttemptOutcome outcome) {
			if (outcome.reachedTarget()) {
				return;
			}
			ProxiedRequest.this.unsentAttempts++;
			if (this.sent) {
				ProxiedRequest.this.sentAttempts--;
				ProxiedRequest.this.triedTargets.remove(this.target.listing().id());
			}
		}

		private void recordInQuarantine(AttemptOutcome outcome) {
			SequentialCrashQuarantine quarantine = ProxiedRequest.this.components.quarantine();
			String targetId = this.target.listing().id();
			if (outcome instanceof AttemptOutcome.ConnectionLost) {
				quarantine.recordCrash(fingerprint(), targetId, this.sentMs);
				ProxiedRequest.this.components.log()
					.event("target-connection-lost", "id", ProxiedRequest.this.requestId, "target", targetId,
							"fingerprint", fingerprint());
			}
			else if (!quarantine.isEmpty()) {
				boolean completed = outcome instanceof AttemptOutcome.Answered;
				if (completed) {
					quarantine.recordCompletion(fingerprint());
				}
				if (completed || outcome instanceof AttemptOutcome.Declined) {
					quarantine.recordResponse(targetId, this.sentMs);
				}
			}
		}

		private void recordOutcome(AttemptOutcome outcome) {
			this.ended = true;
			ProxiedRequest.this.mayHaveRun |= outcome.mayHaveRun();
			ScheduledFuture<?> pending = this.slowTimer;
			if (pending != null) {
				pending.cancel(false);
			}
			recordInQuarantine(outcome);
			long tookMs = ProxiedRequest.this.components.clock().millis() - this.startedMs;
			boolean wasSuspect = ProxiedRequest.this.components.attemptRecorder().isSuspect(this.target);
			boolean failed = ProxiedRequest.this.components.attemptRecorder()
				.recordOutcome(this.target, this.admittedRoute.name(), outcome, tookMs);
			if (failed) {
				ProxiedRequest.this.components.targetHealthListener().targetFailed(this.target);
			}
			else if (wasSuspect && outcome instanceof AttemptOutcome.Answered) {
				ProxiedRequest.this.components.targetHealthListener().targetRecovered(this.target);
			}
			ProxiedRequest.this.attemptLog.append(ProxiedRequest.this.attemptLog.isEmpty() ? "" : "; ")
				.append(this.target.listing().id())
				.append(' ')
				.append(this.path.description().isEmpty() ? "" : this.path.description() + ' ')
				.append(outcome)
				.append(' ')
				.append(tookMs)
				.append("ms");
		}

	}

}
