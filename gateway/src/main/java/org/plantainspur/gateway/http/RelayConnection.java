package org.plantainspur.gateway.http;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.reach.RelayAdmission;
import org.plantainspur.gateway.log.ExternalNames;

/**
 * Handles one connection of another host, which sends one attempt at a time. A request
 * without a valid proof is rejected.
 */
final class RelayConnection extends ChannelInboundHandlerAdapter {

	private static final double MS_PER_SECOND = 1_000;

	private final ProxyComponents components;

	private final AttemptPaths paths;

	private final RequestBodyLimiter bodyLimiter;

	private final AtomicInteger openRequests;

	private int received;

	private @Nullable RelayedAttempt running;

	RelayConnection(ProxyComponents components, AttemptPaths paths, RequestBodyLimiter bodyLimiter,
			AtomicInteger openRequests) {
		this.components = components;
		this.paths = paths;
		this.bodyLimiter = bodyLimiter;
		this.openRequests = openRequests;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (!(message instanceof FullHttpRequest request)) {
			ReferenceCountUtil.release(message);
			return;
		}
		long arrivedMs = this.bodyLimiter.takeArrivalMs();
		if (this.running != null) {
			// Hosts do not pipeline.
			this.components.bufferBudget().release(request.content().readableBytes());
			request.release();
			context.close();
			return;
		}
		this.openRequests.incrementAndGet();
		if (request.decoderResult().isFailure() || !this.components.paths()
			.relayProof()
			.accept(request, this.components.paths().relayKey(),
					RelayProof.Place.of(context.channel().remoteAddress(), this.received++),
					System.currentTimeMillis())) {
			this.components.metrics().count("relayed_requests_total", "rejected");
			respond(context, request, refusal(request, RelayOutcome.REJECTED, "no valid proof"));
			return;
		}
		RelayAdmission.Decision decision = this.components.paths()
			.relayAdmission()
			.decide(request.headers().get(RelayHeaders.TARGET, ""));
		if (decision instanceof RelayAdmission.Accepted accepted) {
			this.components.metrics().count("relayed_requests_total", "accepted");
			RelayedAttempt attempt = new RelayedAttempt(this.components, this.paths, context.channel().eventLoop(),
					request, arrivedMs, accepted.target(), (response) -> attemptEnded(context, request, response));
			this.running = attempt;
			attempt.start();
		}
		else if (decision instanceof RelayAdmission.Declined declined) {
			String reason = ExternalNames.of(declined.reason());
			this.components.metrics().count("relayed_requests_total", reason);
			respond(context, request, refusal(request, RelayOutcome.of(declined.reason()), reason));
		}
	}

	private void attemptEnded(ChannelHandlerContext context, FullHttpRequest request, FullHttpResponse response) {
		this.running = null;
		this.components.paths().relayAdmission().release();
		respond(context, request, response);
	}

	private FullHttpResponse refusal(FullHttpRequest request, RelayOutcome outcome, String reason) {
		return outcomeResponse(this.components.headerNames(), request, outcome, reason);
	}

	// Returns the response to an attempt that ended without a response of the target.
	static FullHttpResponse outcomeResponse(HeaderNames headerNames, FullHttpRequest request, RelayOutcome outcome,
			String reason) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
		response.headers().set(headerNames.requestId(), request.headers().get(headerNames.requestId(), ""));
		response.headers().set(RelayHeaders.OUTCOME, outcome.name());
		response.headers().set(RelayHeaders.REASON, reason.replaceAll("[^ -~]", " "));
		if (outcome == RelayOutcome.BUSY) {
			response.headers().set(HttpHeaderNames.RETRY_AFTER, RelayAdmission.RETRY_AFTER_MS / MS_PER_SECOND);
		}
		return response;
	}

	private void respond(ChannelHandlerContext context, FullHttpRequest request, FullHttpResponse response) {
		this.components.bufferBudget().release(request.content().readableBytes());
		boolean broken = request.decoderResult().isFailure();
		request.release();
		var written = context.writeAndFlush(response)
			.addListener((ChannelFutureListener) (future) -> this.openRequests.decrementAndGet());
		if (broken) {
			written.addListener(ChannelFutureListener.CLOSE);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		RelayedAttempt attempt = this.running;
		if (attempt != null) {
			attempt.abandon();
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof IdleStateEvent && this.running == null) {
			context.close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (!(cause instanceof IOException)) {
			this.components.failures().failed("relay-connection", cause);
		}
		context.close();
	}

}
