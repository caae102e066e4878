package org.plantainspur.gateway.http;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.desired.RouteRule;

/**
 * Handles one connection of a caller. Pipelined requests of idempotent routes run side by
 * side, all others one after another. Responses are sent in the order of the requests.
 * When a response closes the connection because its caller asked for it, the requests
 * behind it are abandoned, as callers send them again on another connection, whatever
 * their route. During a stop, running requests are answered, those that have not been
 * started are refused, and the response to the last request that was read closes the
 * connection.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	/** The connection is not read while this many requests have no response. */
	private static final int MAX_PIPELINED_REQUESTS = 8;

	private final ProxyComponents components;

	private final AttemptPaths paths;

	private final RequestBodyLimiter bodyLimiter;

	private final OpenRequestCounter openRequests;

	/** The requests that have not been started, in the order of their arrival. */
	private final Deque<Arrival> waiting = new ArrayDeque<>();

	/** The started requests whose responses have not been sent, in the same order. */
	private final Deque<Exchange> running = new ArrayDeque<>();

	private boolean starting;

	private boolean closing;

	/**
	 * Whether a response was sent during a stop, so that no further request of this
	 * connection is started.
	 */
	private boolean refusing;

	CallerConnection(ProxyComponents components, AttemptPaths paths, RequestBodyLimiter bodyLimiter,
			OpenRequestCounter openRequests) {
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
		Arrival arrival = new Arrival(request, this.bodyLimiter.takeArrivalMs());
		if (this.closing) {
			discard(arrival);
			return;
		}
		this.waiting.addLast(arrival);
		startNext(context);
	}

	// Starts all requests that may run now. A request may be answered while it is being
	// started, so the loop is not entered again from within it.
	private void startNext(ChannelHandlerContext context) {
		if (this.starting) {
			return;
		}
		this.starting = true;
		try {
			Arrival next = this.waiting.peekFirst();
			while (next != null && mayStart(next.request())) {
				this.waiting.removeFirst();
				start(context, next);
				next = this.waiting.peekFirst();
			}
		}
		finally {
			this.starting = false;
		}
		context.channel().config().setAutoRead(this.running.size() + this.waiting.size() < MAX_PIPELINED_REQUESTS);
	}

	// A request may run beside those before it if it may run once more, as it will if one
	// of their responses closes the connection.
	private boolean mayStart(FullHttpRequest request) {
		if (this.running.isEmpty()) {
			return true;
		}
		boolean mayClose = this.components.shutdown().stopping()
				|| this.running.stream().anyMatch((exchange) -> !exchange.keepAlive);
		if (mayClose || !request.decoderResult().isSuccess() || !this.components.startupLatch().isOpen()) {
			return false;
		}
		RouteRule route = this.components.desiredState()
			.current()
			.route(request.headers().get(HttpHeaderNames.HOST, ""), request.uri());
		return route != null && route.idempotent();
	}

	private void start(ChannelHandlerContext context, Arrival arrival) {
		FullHttpRequest request = arrival.request();
		Exchange exchange = new Exchange(HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess());
		ProxiedRequest proxiedRequest = new ProxiedRequest(this.components, context.channel().eventLoop(), this.paths,
				request, arrival.ms(), (response) -> responseReady(context, exchange, response));
		exchange.request = proxiedRequest;
		this.openRequests.increment();
		this.running.addLast(exchange);
		if (this.refusing) {
			proxiedRequest.endForShutdown();
		}
		else {
			proxiedRequest.start();
		}
	}

	private void responseReady(ChannelHandlerContext context, Exchange exchange, FullHttpResponse response) {
		if (!this.running.contains(exchange)) {
			// The request ran on without its caller.
			response.release();
			return;
		}
		exchange.response = response;
		sendReady(context);
		startNext(context);
	}

	private void sendReady(ChannelHandlerContext context) {
		Exchange first = this.running.peekFirst();
		while (first != null && first.response != null) {
			FullHttpResponse response = first.response;
			this.running.removeFirst();
			this.refusing |= this.components.shutdown().stopping();
			boolean last = this.running.isEmpty() && this.waiting.isEmpty();
			if (!first.keepAlive || (this.refusing && last)) {
				this.closing = true;
				response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
				write(context, response).addListener(ChannelFutureListener.CLOSE);
				abandonRequests("behind-close");
				return;
			}
			write(context, response);
			first = this.running.peekFirst();
		}
	}

	// A request stays open until its response has been written, as the process must not
	// end before.
	private ChannelFuture write(ChannelHandlerContext context, FullHttpResponse response) {
		return context.writeAndFlush(response)
			.addListener((ChannelFutureListener) (future) -> this.openRequests.decrement());
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.closing = true;
		abandonRequests("caller-left");
	}

	private void abandonRequests(String outcome) {
		this.waiting.forEach(this::discard);
		this.waiting.clear();
		List<Exchange> unfinished = List.copyOf(this.running);
		this.running.clear();
		for (Exchange exchange : unfinished) {
			this.openRequests.decrement();
			FullHttpResponse response = exchange.response;
			ProxiedRequest request = exchange.request;
			if (response != null) {
				response.release();
			}
			else if (request != null) {
				request.abandon(outcome);
			}
		}
	}

	// Answers the open requests at the end of a stop. A response that is being written
	// closes the connection by itself.
	private void endRequests(ChannelHandlerContext context) {
		this.refusing = true;
		for (Exchange exchange : List.copyOf(this.running)) {
			ProxiedRequest request = exchange.request;
			if (exchange.response == null && request != null) {
				request.endForShutdown();
			}
		}
		if (this.running.isEmpty() && !this.closing) {
			this.closing = true;
			context.close();
		}
	}

	private void discard(Arrival arrival) {
		this.components.bufferBudget().release(arrival.request().content().readableBytes());
		arrival.request().release();
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event == CallerChannels.END) {
			endRequests(context);
		}
		else if (event instanceof IdleStateEvent && this.running.isEmpty()) {
			context.close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		// Callers often end a connection by a reset; channelInactive() cleans up.
		if (!(cause instanceof IOException)) {
			this.components.failures().failed("caller-connection", cause);
		}
		context.close();
	}

	/** A request that has been read, and the clock's reading when it began to arrive. */
	private record Arrival(FullHttpRequest request, long ms) {
	}

	/** A started request and, once there is one, its response. */
	private static final class Exchange {

		private final boolean keepAlive;

		private @Nullable ProxiedRequest request;

		private @Nullable FullHttpResponse response;

		private Exchange(boolean keepAlive) {
			this.keepAlive = keepAlive;
		}

	}

	/**
	 * Counts the requests that have no response yet.
	 */
	interface OpenRequestCounter {

		void increment();

		void decrement();

	}

}
