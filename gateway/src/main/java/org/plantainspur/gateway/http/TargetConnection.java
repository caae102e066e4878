package org.plantainspur.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * One connection to a target, used by one request at a time. It is closed, never used
 * again, after an answer that is incomplete, belongs to another request or is followed by
 * bytes that nobody asked for. All methods run on the connection's event loop.
 */
final class TargetConnection extends ChannelInboundHandlerAdapter {

	/** Larger answers are not kept whole, as the host has little memory. */
	static final int MAX_BODY_BYTES = 8 << 20;

	private final String requestIdHeader;

	private final Idle idle;

	private @Nullable Channel channel;

	private @Nullable Listener listener;

	private String requestId = "";

	private boolean written;

	private boolean reset;

	private @Nullable HttpResponse head;

	private boolean skipped;

	private ByteBuf body = Unpooled.EMPTY_BUFFER;

	private long keepAliveMs = DEFAULT_KEEP_ALIVE_MS;

	/** Targets that state no timeout are taken to close sooner than most do. */
	static final long DEFAULT_KEEP_ALIVE_MS = 5_000;

	TargetConnection(String requestIdHeader, Idle idle) {
		this.requestIdHeader = requestIdHeader;
		this.idle = idle;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.channel = context.channel();
	}

	Channel channel() {
		Channel present = this.channel;
		if (present == null) {
			throw new IllegalStateException("the connection has no channel yet");
		}
		return present;
	}

	long keepAliveMs() {
		return this.keepAliveMs;
	}

	void send(FullHttpRequest request, String id, Listener to) {
		this.listener = to;
		this.requestId = id;
		this.written = false;
		this.head = null;
		channel().writeAndFlush(request).addListener((ChannelFutureListener) (future) -> {
			if (future.isSuccess()) {
				this.written = true;
			}
			else {
				fail("write failed: " + future.cause());
			}
		});
	}

	/** Withdraws the request: the target sees the connection close. */
	void cancel() {
		this.listener = null;
		channel().close();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		try {
			read(context, message);
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void read(ChannelHandlerContext context, Object message) {
		if (this.listener == null) {
			context.close();
			return;
		}
		if (message instanceof HttpResponse response) {
			if (response.decoderResult().isFailure()) {
				fail("the answer is not HTTP: " + response.decoderResult().cause());
				return;
			}
			// An answer to an earlier request of the connection is skipped.
			this.skipped = response.status().code() < 200
					|| !this.requestId.equals(response.headers().get(this.requestIdHeader));
			this.head = response;
			this.body = Unpooled.EMPTY_BUFFER;
		}
		if (message instanceof HttpContent content && !this.skipped) {
			if (content.decoderResult().isFailure()) {
				fail("the answer's body is spoilt: " + content.decoderResult().cause());
				return;
			}
			append(content.content());
		}
		if (message instanceof LastHttpContent) {
			ended();
		}
	}

	private void append(ByteBuf part) {
		if (!part.isReadable()) {
			return;
		}
		if (this.body.readableBytes() + part.readableBytes() > MAX_BODY_BYTES) {
			fail("the answer is larger than " + MAX_BODY_BYTES + " bytes");
			return;
		}
		if (this.body == Unpooled.EMPTY_BUFFER) {
			this.body = Unpooled.buffer(Math.max(256, part.readableBytes()));
		}
		this.body.writeBytes(part);
	}

	private void ended() {
		HttpResponse answer = this.head;
		Listener to = this.listener;
		if (answer == null || to == null) {
			return;
		}
		this.head = null;
		if (this.skipped) {
			return;
		}
		boolean framed = HttpUtil.isContentLengthSet(answer) || HttpUtil.isTransferEncodingChunked(answer)
				|| answer.status().code() == 204 || answer.status().code() == 304;
		if (!framed && this.reset) {
			fail("the connection was reset before the answer's end");
			return;
		}
		this.listener = null;
		ByteBuf whole = this.body;
		this.body = Unpooled.EMPTY_BUFFER;
		boolean reusable = framed && this.written && HttpUtil.isKeepAlive(answer) && channel().isActive();
		readKeepAlive(answer);
		to.answered(answer, whole);
		if (reusable) {
			this.idle.idle(this);
		}
		else {
			channel().close();
		}
	}

	private void readKeepAlive(HttpResponse answer) {
		String stated = answer.headers().get(HttpHeaderNames.KEEP_ALIVE);
		if (stated == null) {
			return;
		}
		for (String parameter : stated.split(",")) {
			String[] parts = parameter.trim().split("=", 2);
			if (parts.length == 2 && parts[0].equalsIgnoreCase("timeout") && parts[1].matches("\\d{1,6}")) {
				this.keepAliveMs = Long.parseLong(parts[1]) * 1_000;
			}
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.reset = true;
		fail("connection failed: " + cause.getMessage());
		context.close();
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		fail("the target closed the connection");
		this.idle.closed(this);
	}

	private void fail(String reason) {
		Listener to = this.listener;
		this.listener = null;
		this.head = null;
		channel().close();
		if (to != null) {
			to.broken(reason);
		}
	}

	/**
	 * Told how a request ended, once.
	 */
	interface Listener {

		void answered(HttpResponse answer, ByteBuf body);

		void broken(String reason);

	}

	/**
	 * Told when a connection may be used again and when it cannot any more.
	 */
	interface Idle {

		void idle(TargetConnection connection);

		void closed(TargetConnection connection);

	}

}
