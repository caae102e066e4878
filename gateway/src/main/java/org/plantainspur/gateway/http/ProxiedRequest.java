package org.plantainspur.gateway.http;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
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
import org.plantainspur.core.proxy.AdmissionControl;
import org.plantainspur.core.proxy.Refusal;
import org.plantainspur.core.proxy.RetryRules;
import org.plantainspur.core.request.RequestFingerprint;
import org.plantainspur.core.target.AttemptOutcome;
import org.plantainspur.core.target.TargetSelector;
import org.plantainspur.gateway.log.ExternalNames;

/**
 * Carries one request of a caller from its arrival to its response: admission, the
 * attempts at targets, and the deadline. Confined to the event loop of the caller's
 * connection.
 */
final class ProxiedRequest implements ProxyAttempt.Request {

	/**
	 * Subtracted from the deadline that a target is given, so that a response that the
	 * target sends at its deadline arrives before this host's own.
	 */
	private static final long DEADLINE_MARGIN_MS = 20;

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

	/**
	 * Delay before a request looks for a path again while hosts that may relay are being
	 * looked up.
	 */
	private static final long PATH_LOOK_UP_DELAY_MS = 20;

	private final ProxyComponents components;

	private final EventLoop eventLoop;

	private final AttemptPaths paths;

	private final FullHttpRequest request;

	private final CallerMessageMapper callerMapper;

	private final TargetMessageMapper targetMapper;

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

	private @Nullable ProxyAttempt currentAttempt;

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

	@Override
	public long remainingMs() {
		return this.deadlineMs - this.components.clock().millis();
	}

	private void startAttempt(RouteRule admittedRoute) {
		if (!this.components.quarantine().isEmpty() && this.components.quarantine().quarantined(fingerprint())) {
			refuse(Refusal.QUARANTINED);
			return;
		}
		boolean retryable = mayRetryAgain(admittedRoute);
		TargetSelector.Selection selection = select(admittedRoute, retryable);
		if (selection != null) {
			startAttempt(admittedRoute, selection, retryable);
		}
		else if (this.components.paths().relayHosts().isLookUpPending() && remainingMs() > PATH_LOOK_UP_DELAY_MS) {
			this.currentAttempt = null;
			startAttemptLater(admittedRoute, PATH_LOOK_UP_DELAY_MS);
		}
		else {
			refuseWithoutTarget();
		}
	}

	private void startAttemptLater(RouteRule admittedRoute, long delayMs) {
		this.eventLoop.schedule(() -> {
			if (!this.finished && this.currentAttempt == null) {
				startAttempt(admittedRoute);
			}
		}, delayMs, TimeUnit.MILLISECONDS);
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
		ProxyAttempt attempt = new ProxyAttempt(this.components, this.eventLoop, this, selection.target(),
				this.paths.create(selection, this.requestId, retryable), admittedRoute.name());
		this.currentAttempt = attempt;
		attempt.start();
	}

	@Override
	public FullHttpRequest attemptSent(ProxyAttempt attempt) {
		this.sentAttempts++;
		this.triedTargets.add(attempt.targetId());
		return this.targetMapper.toTargetRequest(this.request, this.account, attempt.targetId(),
				remainingMs() - DEADLINE_MARGIN_MS);
	}

	@Override
	public void pathOverdue(ProxyAttempt attempt) {
		RouteRule admittedRoute = this.route;
		if (admittedRoute == null || !this.components.retryRules().mayLeaveSlowPath(this.unsentAttempts + 1)) {
			return;
		}
		boolean retryable = mayRetryAgain(admittedRoute);
		TargetSelector.Selection other = select(admittedRoute, retryable);
		if (other != null) {
			this.unsentAttempts++;
			attempt.leaveSlow();
			startAttempt(admittedRoute, other, retryable);
		}
	}

	@Override
	public boolean replaceSlowAttempt(ProxyAttempt attempt, double typicalMs) {
		RouteRule admittedRoute = this.route;
		if (admittedRoute == null || typicalMs >= remainingMs()) {
			return false;
		}
		boolean retryable = mayRetryAgain(admittedRoute);
		TargetSelector.Selection other = select(admittedRoute, retryable);
		if (other == null || !this.components.retryRules()
			.tryReplaceSlowAttempt(admittedRoute, this.service, this.sentAttempts)) {
			return false;
		}
		attempt.leaveSlow();
		startAttempt(admittedRoute, other, retryable);
		return true;
	}

	@Override
	public void outcomeRecorded(ProxyAttempt attempt, AttemptOutcome outcome, long tookMs) {
		this.mayHaveRun |= outcome.mayHaveRun();
		this.attemptLog.append(this.attemptLog.isEmpty() ? "" : "; ")
			.append(attempt.description())
			.append(' ')
			.append(outcome)
			.append(' ')
			.append(tookMs)
			.append("ms");
	}

	@Override
	public void attemptEnded(ProxyAttempt attempt, AttemptOutcome outcome, boolean deadlineReached,
			@Nullable HttpResponse response, ByteBuf body) {
		if (!outcome.reachedTarget()) {
			countUnsent(attempt);
		}
		RouteRule admittedRoute = this.route;
		if (this.finished || admittedRoute == null) {
			body.release();
			return;
		}
		this.currentAttempt = null;
		RetryRules.NextStep next = this.components.retryRules()
			.nextStep(admittedRoute, this.service, outcome, this.sentAttempts, this.unsentAttempts,
					deadlineReached || remainingMs() <= DEADLINE_MARGIN_MS);
		if (!(next instanceof RetryRules.Deliver)) {
			body.release();
		}
		proceed(next, response, body);
	}

	// An attempt that another host did not pass on was sent to that host, but has reached
	// no target.
	private void countUnsent(ProxyAttempt attempt) {
		this.unsentAttempts++;
		if (attempt.isSent()) {
			this.sentAttempts--;
			this.triedTargets.remove(attempt.targetId());
		}
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

	@Override
	public String requestId() {
		return this.requestId;
	}

	@Override
	public String fingerprint() {
		if (this.fingerprint.isEmpty()) {
			AccountRule requestAccount = this.account;
			this.fingerprint = RequestFingerprint.of((requestAccount != null) ? requestAccount.name() : "",
					this.request.method().name(), this.request.uri(), this.request.content().nioBuffer());
		}
		return this.fingerprint;
	}

	private void deadlineReached() {
		ProxyAttempt runningAttempt = this.currentAttempt;
		if (runningAttempt != null) {
			runningAttempt.deadlineReached();
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
		ProxyAttempt runningAttempt = this.currentAttempt;
		RouteRule admittedRoute = this.route;
		boolean cancellable = admittedRoute != null && admittedRoute.idempotent();
		if (runningAttempt != null && (cancellable || !runningAttempt.isSent())) {
			runningAttempt.cancel();
		}
		if (runningAttempt == null || cancellable || !runningAttempt.isSent()) {
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
		ProxyAttempt runningAttempt = this.currentAttempt;
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
			startAttemptLater(admittedRoute, DECLINED_RETRY_DELAY_MS);
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
		finish(ExternalNames.of(refusal), refusal.status());
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

}
