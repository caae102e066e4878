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
 * Handles one connection of a caller. Requests are answered one after another in the
 * order of their arrival; pipelined requests wait in a queue.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	/** The connection is not read while this many pipelined requests wait. */
	private static final int MAX_PIPELINED_REQUESTS = 8;

	private final ProxyComponents components;

	private final ProxyTargetConnectionPool connectionPool;

	private final OpenRequestCounter openRequests;

	private final Deque<FullHttpRequest> pipelined = new ArrayDeque<>();

	private @Nullable ProxiedRequest activeRequest;

	private boolean closing;

	private boolean disconnected;

	CallerConnection(ProxyComponents components, ProxyTargetConnectionPool connectionPool,
			OpenRequestCounter openRequests) {
		this.components = components;
		this.connectionPool = connectionPool;
		this.openRequests = openRequests;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (!(message instanceof FullHttpRequest request) || this.closing) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (this.activeRequest != null) {
			this.pipelined.add(request);
			context.channel().config().setAutoRead(this.pipelined.size() < MAX_PIPELINED_REQUESTS);
			return;
		}
		startRequest(context, request);
	}

	private void startRequest(ChannelHandlerContext context, FullHttpRequest request) {
		boolean keepAlive = HttpUtil.isKeepAlive(request) && request.decoderResult().isSuccess();
		this.openRequests.increment();
		ProxiedRequest proxiedRequest = new ProxiedRequest(this.components, context.channel().eventLoop(),
				this.connectionPool, request, (response) -> sendResponse(context, response, keepAlive));
		this.activeRequest = proxiedRequest;
		proxiedRequest.start();
	}

	private void sendResponse(ChannelHandlerContext context, FullHttpResponse response, boolean keepAlive) {
		if (this.disconnected) {
			// The request ran on without its caller; channelInactive() has already
			// subtracted it from the open requests.
			response.release();
			return;
		}
		this.activeRequest = null;
		this.openRequests.decrement();
		boolean close = !keepAlive || this.components.shutdown().stopping();
		if (close) {
			this.closing = true;
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
			return;
		}
		context.writeAndFlush(response);
		FullHttpRequest next = this.pipelined.poll();
		if (next != null) {
			context.channel().config().setAutoRead(true);
			// A request may be answered while it is being started, so a direct call would
			// nest one request in another.
			context.channel().eventLoop().execute(() -> startRequest(context, next));
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.closing = true;
		this.disconnected = true;
		this.pipelined.forEach(ReferenceCountUtil::release);
		this.pipelined.clear();
		ProxiedRequest unfinished = this.activeRequest;
		this.activeRequest = null;
		if (unfinished != null) {
			this.openRequests.decrement();
			unfinished.callerDisconnected();
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof IdleStateEvent && this.activeRequest == null) {
			context.close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		// Callers often end a connection by a reset; channelInactive() cleans up.
		context.close();
	}

	/**
	 * Counts the requests that have no response yet.
	 */
	interface OpenRequestCounter {

		void increment();

		void decrement();

	}

}
