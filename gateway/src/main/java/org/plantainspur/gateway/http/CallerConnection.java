package org.plantainspur.gateway.http;

import java.util.ArrayDeque;
import java.util.Deque;

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

/**
 * One connection of a caller. Requests are answered one after another; further ones wait
 * their turn.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	/** A caller that sends more without waiting for answers is not read any further. */
	private static final int MAX_WAITING = 8;

	private final ProxyParts parts;

	private final TargetConnections connections;

	private final OpenRequests open;

	private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();

	private @Nullable Exchange current;

	private boolean closing;

	private boolean left;

	CallerConnection(ProxyParts parts, TargetConnections connections, OpenRequests open) {
		this.parts = parts;
		this.connections = connections;
		this.open = open;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (!(message instanceof FullHttpRequest request) || this.closing) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (this.current != null) {
			this.waiting.add(request);
			context.channel().config().setAutoRead(this.waiting.size() < MAX_WAITING);
			return;
		}
		begin(context, request);
	}

	private void begin(ChannelHandlerContext context, FullHttpRequest request) {
		boolean keepAlive = HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
		this.open.began();
		Exchange exchange = new Exchange(this.parts, context.channel().eventLoop(), this.connections, request,
				(response) -> answer(context, response, keepAlive));
		this.current = exchange;
		exchange.start();
	}

	private void answer(ChannelHandlerContext context, FullHttpResponse response, boolean keepAlive) {
		if (this.left) {
			// The request was left to end without its caller, and is not counted any
			// more.
			response.release();
			return;
		}
		this.current = null;
		this.open.ended();
		boolean close = !keepAlive || this.parts.stopping().stopping();
		if (close) {
			this.closing = true;
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
			return;
		}
		context.writeAndFlush(response);
		FullHttpRequest next = this.waiting.poll();
		if (next != null) {
			context.channel().config().setAutoRead(true);
			// Not from within the answer, which may itself have come at once.
			context.channel().eventLoop().execute(() -> begin(context, next));
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.closing = true;
		this.left = true;
		this.waiting.forEach(ReferenceCountUtil::release);
		this.waiting.clear();
		Exchange running = this.current;
		this.current = null;
		if (running != null) {
			this.open.ended();
			running.callerLeft();
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof IdleStateEvent && this.current == null) {
			context.close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		// A caller's reset is an ordinary way to leave; channelInactive follows.
		context.close();
	}

	/**
	 * Counts the requests that have no answer yet.
	 */
	interface OpenRequests {

		void began();

		void ended();

	}

}
