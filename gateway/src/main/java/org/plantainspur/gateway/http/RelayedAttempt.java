package org.plantainspur.gateway.http;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.desired.RouteRule;
import org.plantainspur.core.target.AttemptOutcome;
import org.plantainspur.core.target.ObservedTarget;

/**
 * Carries one attempt of another host to its target, always on a direct path, so that no
 * attempt takes more than one hop. Retries, the limits of accounts and targets, and the
 * retry budget are up to the other host. Confined to the event loop of its connection.
 */
final class RelayedAttempt implements AttemptPath.Listener {

	private final ProxyComponents components;

	private final EventLoop eventLoop;

	private final FullHttpRequest request;

	private final ObservedTarget target;

	private final Consumer<FullHttpResponse> responseWriter;

	private final CallerMessageMapper callerMapper;

	private final TargetMessageMapper targetMapper;

	private final AttemptPath path;

	private final String route;

	private final long startedMs;

	private final long deadlineMs;

	private @Nullable ScheduledFuture<?> deadlineTimer;

	private boolean sent;

	private boolean ended;

	RelayedAttempt(ProxyComponents components, AttemptPaths paths, EventLoop eventLoop, FullHttpRequest request,
			long arrivedMs, ObservedTarget target, Consumer<FullHttpResponse> responseWriter) {
		this.components = components;
		this.eventLoop = eventLoop;
		this.request = request;
		this.target = target;
		this.responseWriter = responseWriter;
		this.targetMapper = new TargetMessageMapper(components.headerNames());
		this.callerMapper = new CallerMessageMapper(components.headerNames(), request);
		this.path = paths.direct(target, this.callerMapper.requestId(),
				request.headers().get(RelayHeaders.RETRYABLE, "").equals("true"));
		RouteRule rule = components.desiredState()
			.current()
			.route(request.headers().get(HttpHeaderNames.HOST, ""), request.uri());
		this.route = (rule != null) ? rule.name() : "";
		this.startedMs = components.clock().millis();
		this.deadlineMs = arrivedMs + this.callerMapper.deadlineMs();
	}

	void start() {
		this.components.attemptRecorder().recordSent(this.target);
		this.deadlineTimer = this.eventLoop.schedule(this::deadlineReached, remainingMs(), TimeUnit.MILLISECONDS);
		this.path.open(this);
	}

	private long remainingMs() {
		return Math.max(1, this.deadlineMs - this.components.clock().millis());
	}

	@Override
	public void opened() {
		if (this.components.targetPermits().isWithdrawn(this.target)) {
			this.path.cancel();
			end(new AttemptOutcome.Withheld(), RelayOutcome.WITHHELD, "the target takes no requests");
			return;
		}
		this.sent = true;
		this.path.send(this.targetMapper.toRelayedRequest(this.request, remainingMs()));
	}

	@Override
	public void overdue() {
		this.path.cancel();
		notOpened("the target did not answer the connect in the usual time");
	}

	@Override
	public void notOpened(String reason) {
		end(new AttemptOutcome.NotSent(reason),
				RelayOutcome.of(this.components.paths().relayAdmission().unreachedReason()), reason);
	}

	@Override
	public void responseReceived(HttpResponse response, ByteBuf body) {
		AttemptOutcome outcome = this.targetMapper.toOutcome(response);
		new TargetResponseRecorder(this.components, this.targetMapper).record(this.target, response, outcome);
		FullHttpResponse relayed = this.callerMapper.toCallerResponse(response, body);
		RelayHeaders.removeAll(relayed.headers());
		end(outcome, relayed);
	}

	@Override
	public void ended(AttemptOutcome outcome) {
		boolean lost = outcome instanceof AttemptOutcome.ConnectionLost;
		end(outcome, lost ? RelayOutcome.CONNECTION_LOST : RelayOutcome.BROKEN, outcome.toString());
	}

	private void deadlineReached() {
		if (!this.ended) {
			this.path.cancel();
			end(this.sent ? this.path.timedOut() : new AttemptOutcome.NotSent("no connection before the deadline"),
					this.sent ? RelayOutcome.TIMED_OUT : RelayOutcome.NOTHING_REACHED,
					"no response before the deadline");
		}
	}

	/** Called when the other host has closed its connection. */
	void abandon() {
		if (!this.ended) {
			this.path.cancel();
			end(this.sent ? new AttemptOutcome.Cancelled() : new AttemptOutcome.NotSent("cancelled"),
					RelayOutcome.BROKEN, "cancelled");
		}
	}

	private void end(AttemptOutcome outcome, RelayOutcome relayOutcome, String reason) {
		end(outcome,
				RelayConnection.outcomeResponse(this.components.headerNames(), this.request, relayOutcome, reason));
	}

	private void end(AttemptOutcome outcome, FullHttpResponse response) {
		this.ended = true;
		ScheduledFuture<?> pending = this.deadlineTimer;
		if (pending != null) {
			pending.cancel(false);
		}
		this.components.attemptRecorder()
			.recordOutcome(this.target, this.route, outcome, this.components.clock().millis() - this.startedMs);
		this.responseWriter.accept(response);
	}

}
