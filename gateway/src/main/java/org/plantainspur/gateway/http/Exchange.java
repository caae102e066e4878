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
import org.plantainspur.core.proxy.AdmissionControl;
import org.plantainspur.core.proxy.Refusal;
import org.plantainspur.core.proxy.RetryRules;
import org.plantainspur.core.target.AttemptOutcome;
import org.plantainspur.core.target.ObservedTarget;
import org.plantainspur.core.target.TargetSelector;

/**
 * One request of a caller from its arrival to its answer. Confined to the event loop of
 * the caller's connection.
 */
final class Exchange {

	/** A target's own answer at the deadline still arrives before this host's. */
	private static final long DEADLINE_MARGIN_MS = 20;

	/** An attempt of an idempotent request is given up after this many usual times. */
	private static final double PATIENCE_FACTOR = 4;

	/**
	 * A process that has just started reads the store within this time, if it can be
	 * reached.
	 */
	private static final long LONGEST_START_WAIT_MS = 1_000;

	/** Callers should hear of a store that is away while they can still go elsewhere. */
	private static final long START_WAIT_PART = 4;

	/** A full queue has room again after a part of a request's time. */
	private static final long RETRY_TRIED_MS = 100;

	private static final long LEAST_PATIENCE_MS = 400;

	private final ProxyParts parts;

	private final EventLoop loop;

	private final TargetConnections connections;

	private final FullHttpRequest request;

	private final CallerMessages caller;

	private final TargetMessages messages;

	private final Answers answers;

	private final long startedMs;

	private final String requestId;

	private final Set<String> tried = new HashSet<>();

	private boolean onlyTried;

	private final StringBuilder attempts = new StringBuilder();

	private @Nullable RouteRule route;

	private @Nullable AccountRule account;

	private String service = "";

	private long versionUsed;

	private long endMs;

	private int sentAttempts;

	private int unsentAttempts;

	private @Nullable Attempt current;

	private @Nullable ScheduledFuture<?> timer;

	private boolean begun;

	private boolean mayHaveRun;

	private boolean done;

	Exchange(ProxyParts parts, EventLoop loop, TargetConnections connections, FullHttpRequest request,
			Answers answers) {
		this.parts = parts;
		this.loop = loop;
		this.connections = connections;
		this.request = request;
		this.caller = new CallerMessages(parts.headers(), request);
		this.messages = new TargetMessages(parts.headers());
		this.answers = answers;
		this.startedMs = parts.clock().millis();
		this.requestId = this.caller.requestId();
	}

	void start() {
		if (this.parts.gate().isOpen() || this.parts.stopping().refusing()) {
			begin();
			return;
		}
		long waitMs = Math.min(LONGEST_START_WAIT_MS, this.caller.deadlineMs() / START_WAIT_PART);
		this.timer = this.loop.schedule(this::begin, waitMs, TimeUnit.MILLISECONDS);
		this.parts.gate().whenOpen(() -> this.loop.execute(this::begin));
	}

	private void begin() {
		if (this.begun || this.done) {
			return;
		}
		this.begun = true;
		ScheduledFuture<?> wait = this.timer;
		if (wait != null) {
			wait.cancel(false);
		}
		DesiredState state = this.parts.desired().current();
		this.versionUsed = state.version();
		DecoderResult decoded = this.request.decoderResult();
		if (decoded.isFailure() || !this.request.uri().startsWith("/")) {
			refuse((decoded.cause() instanceof TooLongFrameException) ? Refusal.HEADERS_TOO_LARGE : Refusal.MALFORMED);
			return;
		}
		if (this.parts.stopping().refusing()) {
			refuse(Refusal.STOPPING);
			return;
		}
		String host = this.request.headers().get(HttpHeaderNames.HOST, "");
		AdmissionControl.Decision decision = this.parts.admission()
			.decide(state, host, this.request.uri(), this.caller.key());
		if (decision instanceof AdmissionControl.Refused refused) {
			this.account = refused.account();
			refuse(refused.refusal());
		}
		else if (decision instanceof AdmissionControl.Admitted admitted) {
			this.route = admitted.route();
			this.account = admitted.account();
			this.service = admitted.service();
			this.endMs = this.startedMs + Math.min(this.caller.deadlineMs(), admitted.route().timeoutMs());
			this.timer = this.loop.schedule(this::timeUp, leftMs(), TimeUnit.MILLISECONDS);
			this.parts.budget().earn(this.service);
			attempt(admitted.route());
		}
	}

	private long leftMs() {
		return this.endMs - this.parts.clock().millis();
	}

	private void attempt(RouteRule admittedRoute) {
		boolean repeatable = this.parts.rules().mayRetryAgain(admittedRoute, this.service, this.sentAttempts);
		ObservedTarget target = this.parts.chooser()
			.select(this.service, (candidate) -> this.tried.contains(candidate.listing().id()) == this.onlyTried,
					new TargetSelector.AttemptProfile(admittedRoute.name(), repeatable,
							this.request.content().readableBytes()));
		if (target == null) {
			refuse((this.sentAttempts > 0) ? Refusal.ALL_DECLINED : Refusal.NO_TARGET);
			return;
		}
		this.tried.add(target.listing().id());
		Attempt attempt = new Attempt(target, admittedRoute);
		this.current = attempt;
		this.parts.results().recordSent(target);
		this.connections.connect(target.listing(), repeatable, attempt::connected);
	}

	private void timeUp() {
		Attempt running = this.current;
		if (running != null) {
			running.end(running.sent ? new AttemptOutcome.TimedOut() : new AttemptOutcome.NotSent("no connection"),
					true);
		}
		else {
			refuse(Refusal.NO_ROOM);
		}
	}

	/** The caller has closed its connection. */
	void callerLeft() {
		if (this.done) {
			return;
		}
		Attempt running = this.current;
		RouteRule admittedRoute = this.route;
		boolean withdraw = admittedRoute != null && admittedRoute.idempotent();
		if (running != null && (withdraw || !running.sent)) {
			running.withdraw();
		}
		if (running == null || withdraw || !running.sent) {
			finish("caller-left", 0);
		}
		// A request that runs at most once is left to end, as its work cannot be redone.
	}

	private void next(RetryRules.NextStep next, @Nullable HttpResponse answer, ByteBuf body) {
		RouteRule admittedRoute = this.route;
		if (next instanceof RetryRules.Retry && admittedRoute != null) {
			attempt(admittedRoute);
		}
		else if (next instanceof RetryRules.RetrySameTargets && admittedRoute != null) {
			this.onlyTried = true;
			this.loop.schedule(() -> {
				if (!this.done && this.current == null) {
					attempt(admittedRoute);
				}
			}, RETRY_TRIED_MS, TimeUnit.MILLISECONDS);
		}
		else if (next instanceof RetryRules.Refuse refuse) {
			refuse(refuse.refusal());
		}
		else if (answer != null) {
			deliver(answer, body);
		}
	}

	private void deliver(HttpResponse answer, ByteBuf body) {
		this.answers.answer(this.caller.answer(answer, body));
		finish("answered", answer.status().code());
	}

	private void refuse(Refusal reason) {
		if (this.done) {
			return;
		}
		// After an attempt that may have run, nothing may say that the request has not.
		Refusal refusal = (this.mayHaveRun && reason.notRun()) ? Refusal.BROKEN : reason;
		this.answers.answer(this.caller.refusal(refusal));
		finish(refusal.name().toLowerCase(Locale.ROOT).replace('_', '-'), refusal.status());
	}

	private void finish(String outcome, int status) {
		if (this.done) {
			return;
		}
		this.done = true;
		this.current = null;
		ScheduledFuture<?> pending = this.timer;
		if (pending != null) {
			pending.cancel(false);
		}
		this.request.release();
		long tookMs = this.parts.clock().millis() - this.startedMs;
		AccountRule payer = this.account;
		RouteRule admittedRoute = this.route;
		String accountName = (payer != null) ? payer.name() : "";
		this.parts.metrics().count("requests_total", outcome);
		this.parts.metrics().took(accountName, tookMs);
		this.parts.log()
			.event("request", "id", this.requestId, "outcome", outcome, "status", status, "tookMs", tookMs, "account",
					accountName, "route", (admittedRoute != null) ? admittedRoute.name() : "", "service", this.service,
					"version", this.versionUsed, "attempts", this.attempts);
	}

	/**
	 * Takes the answer of a request.
	 */
	interface Answers {

		void answer(FullHttpResponse response);

	}

	private final class Attempt implements TargetConnection.Listener {

		private final ObservedTarget target;

		private final RouteRule admittedRoute;

		private final long beganMs = Exchange.this.parts.clock().millis();

		private @Nullable TargetConnection connection;

		private @Nullable ScheduledFuture<?> patience;

		private boolean sent;

		private boolean ended;

		private Attempt(ObservedTarget target, RouteRule admittedRoute) {
			this.target = target;
			this.admittedRoute = admittedRoute;
		}

		private void connected(@Nullable TargetConnection ready) {
			if (this.ended) {
				if (ready != null) {
					ready.channel().close();
				}
				return;
			}
			if (ready == null) {
				end(new AttemptOutcome.NotSent("connect failed"), false);
				return;
			}
			this.connection = ready;
			this.sent = true;
			Exchange.this.sentAttempts++;
			ready.send(Exchange.this.messages.request(Exchange.this.request, Exchange.this.account,
					this.target.listing().id(), leftMs() - DEADLINE_MARGIN_MS), Exchange.this.requestId, this);
			waitPatiently();
		}

		private void waitPatiently() {
			double usual = Exchange.this.parts.results().typicalDurationMs(this.admittedRoute.name());
			long patienceMs = (long) Math.max(LEAST_PATIENCE_MS, usual * PATIENCE_FACTOR);
			if (usual > 0 && patienceMs < leftMs()) {
				this.patience = Exchange.this.loop.schedule(() -> overdue(usual), patienceMs, TimeUnit.MILLISECONDS);
			}
		}

		private void overdue(double usualMs) {
			if (this.ended) {
				return;
			}
			boolean another = usualMs < leftMs() && Exchange.this.parts.rules()
				.tryReplaceSlowAttempt(this.admittedRoute, Exchange.this.service, Exchange.this.sentAttempts);
			if (another) {
				record(new AttemptOutcome.TimedOut());
				cancelConnection();
				attempt(this.admittedRoute);
			}
			else {
				// The request goes on, but others should not wait behind it.
				Exchange.this.parts.results().recordOverdue(this.target);
				Exchange.this.parts.news().failed(this.target);
			}
		}

		@Override
		public void answered(HttpResponse answer, ByteBuf body) {
			Exchange.this.messages.readLoad(answer, this.target, Exchange.this.parts.clock().millis());
			Exchange.this.parts.results().recordResponseBytes(this.admittedRoute.name(), body.readableBytes());
			end(Exchange.this.messages.outcome(answer), false, answer, body);
		}

		@Override
		public void broken(String reason) {
			end(new AttemptOutcome.Incomplete(reason), false);
		}

		private void withdraw() {
			record(new AttemptOutcome.Cancelled());
			cancelConnection();
		}

		private void end(AttemptOutcome outcome, boolean timeIsUp) {
			end(outcome, timeIsUp, null, Unpooled.EMPTY_BUFFER);
		}

		private void end(AttemptOutcome outcome, boolean timeIsUp, @Nullable HttpResponse answer, ByteBuf body) {
			if (this.ended) {
				return;
			}
			record(outcome);
			if (answer == null) {
				cancelConnection();
			}
			if (!this.sent) {
				Exchange.this.unsentAttempts++;
			}
			if (Exchange.this.done) {
				return;
			}
			Exchange.this.current = null;
			RetryRules.NextStep next = Exchange.this.parts.rules()
				.nextStep(this.admittedRoute, Exchange.this.service, outcome, Exchange.this.sentAttempts,
						Exchange.this.unsentAttempts, timeIsUp || leftMs() <= DEADLINE_MARGIN_MS);
			next(next, answer, body);
		}

		private void cancelConnection() {
			TargetConnection used = this.connection;
			if (used != null) {
				used.cancel();
			}
		}

		private void record(AttemptOutcome outcome) {
			this.ended = true;
			Exchange.this.mayHaveRun |= outcome.mayHaveRun();
			ScheduledFuture<?> pending = this.patience;
			if (pending != null) {
				pending.cancel(false);
			}
			long tookMs = Exchange.this.parts.clock().millis() - this.beganMs;
			boolean doubted = Exchange.this.parts.results().isSuspect(this.target);
			boolean failed = Exchange.this.parts.results()
				.recordOutcome(this.target, this.admittedRoute.name(), outcome, tookMs);
			if (failed) {
				Exchange.this.parts.news().failed(this.target);
			}
			else if (doubted && outcome instanceof AttemptOutcome.Answered) {
				Exchange.this.parts.news().sound(this.target);
			}
			Exchange.this.attempts.append(Exchange.this.attempts.isEmpty() ? "" : "; ")
				.append(this.target.listing().id())
				.append(' ')
				.append(outcome)
				.append(' ')
				.append(tookMs)
				.append("ms");
		}

	}

}
