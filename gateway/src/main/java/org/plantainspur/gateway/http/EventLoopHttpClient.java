package org.plantainspur.gateway.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * HTTP client for one address whose calls run on one event loop. A connection carries one
 * call at a time and is then reused. A call that gets no response within its timeout
 * fails and closes its connection, and those that are idle, as they may be silent, too.
 */
public final class EventLoopHttpClient {

	private static final int CONNECT_TIMEOUT_MS = 1_000;

	/**
	 * The longest response. A table of 12,000 targets takes about half of it, and a small
	 * host holds it twice while it is decoded.
	 */
	private static final int MAX_RESPONSE_BODY_BYTES = 8 << 20;

	/** The longest response with its head and the framing of its body. */
	private static final long MAX_RECEIVED_BYTES = MAX_RESPONSE_BODY_BYTES + (1 << 20);

	private static final int MAX_IDLE_CONNECTIONS = 4;

	private final EventLoop eventLoop;

	private final InetSocketAddress address;

	private final Deque<Channel> idleConnections = new ArrayDeque<>();

	public EventLoopHttpClient(EventLoop eventLoop, InetSocketAddress address) {
		this.eventLoop = eventLoop;
		this.address = address;
	}

	/**
	 * Sends a request.
	 * @param method the HTTP method
	 * @param uri the path and query
	 * @param body the body, a JSON text, or empty for a request without a body
	 * @param timeoutMs the longest wait for the response, in milliseconds
	 * @return completed with the response; never fails, but has status 0 and the reason
	 * as its body if there was no response
	 */
	public CompletionStage<Reply> call(String method, String uri, byte[] body, long timeoutMs) {
		return call(method, uri, body, timeoutMs, Connection.POOLED);
	}

	/**
	 * Sends a request.
	 * @param method the HTTP method
	 * @param uri the path and query
	 * @param body the body, a JSON text, or empty for a request without a body
	 * @param timeoutMs the longest wait for the response, in milliseconds
	 * @param connection the connection to send it on
	 * @return completed as for the other method of this name
	 */
	public CompletionStage<Reply> call(String method, String uri, byte[] body, long timeoutMs, Connection connection) {
		Call call = new Call(method, uri, body);
		this.eventLoop.execute(() -> {
			call.timeout = this.eventLoop.schedule(() -> {
				call.fail("no response within " + timeoutMs + " ms");
				closeIdleConnections();
			}, timeoutMs, TimeUnit.MILLISECONDS);
			if (connection == Connection.NEW) {
				connect(call);
			}
			else {
				send(call);
			}
		});
		return call.reply;
	}

	/**
	 * Closes the connections that carry no call.
	 */
	public void closeIdleConnections() {
		this.eventLoop.execute(() -> {
			List<Channel> idle = List.copyOf(this.idleConnections);
			this.idleConnections.clear();
			idle.forEach(Channel::close);
		});
	}

	private void send(Call call) {
		Channel idleConnection = this.idleConnections.pollLast();
		while (idleConnection != null && !idleConnection.isActive()) {
			idleConnection = this.idleConnections.pollLast();
		}
		if (idleConnection != null) {
			call.sendOn(idleConnection);
			return;
		}
		connect(call);
	}

	private void connect(Call call) {
		new Bootstrap().group(this.eventLoop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					StrictResponseDecoder decoder = new StrictResponseDecoder(MAX_RECEIVED_BYTES);
					channel.pipeline()
						.addLast(decoder, new HttpRequestEncoder(), new HttpObjectAggregator(MAX_RESPONSE_BODY_BYTES),
								new ResponseHandler(decoder));
				}

			})
			.connect(this.address)
			.addListener((ChannelFutureListener) (future) -> {
				if (future.isSuccess()) {
					call.sendOn(future.channel());
				}
				else {
					call.fail("connecting failed: " + future.cause().getMessage());
				}
			});
	}

	/**
	 * The connection that a call uses.
	 */
	public enum Connection {

		/** An idle connection, or a new one if there is none. */
		POOLED,

		/** A connection that is opened for the call. */
		NEW

	}

	/**
	 * The result of a call.
	 *
	 * @param status the HTTP status, 0 if there was no response
	 * @param headers the headers of the response
	 * @param body the body of the response, or why there was none, in UTF-8
	 */
	public record Reply(int status, HttpHeaders headers, byte[] body) {

		/**
		 * Returns the beginning of the body as text, for error messages.
		 * @return at most 200 characters
		 */
		public String bodyExcerpt() {
			String whole = new String(this.body, StandardCharsets.UTF_8);
			return (whole.length() > 200) ? whole.substring(0, 200) : whole;
		}

	}

	private final class Call {

		private final CompletableFuture<Reply> reply = new CompletableFuture<>();

		private final String method;

		private final String uri;

		private final byte[] body;

		private @Nullable ScheduledFuture<?> timeout;

		private @Nullable Channel channel;

		private Call(String method, String uri, byte[] body) {
			this.method = method;
			this.uri = uri;
			this.body = body;
		}

		private void sendOn(Channel connection) {
			if (this.reply.isDone()) {
				connection.close();
				return;
			}
			this.channel = connection;
			connection.pipeline().get(ResponseHandler.class).begin(this);
			DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
					HttpMethod.valueOf(this.method), this.uri, Unpooled.wrappedBuffer(this.body));
			request.headers()
				.set(HttpHeaderNames.HOST, EventLoopHttpClient.this.address.getHostString() + ":"
						+ EventLoopHttpClient.this.address.getPort());
			if (this.body.length > 0) {
				request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
				request.headers().set(HttpHeaderNames.CONTENT_LENGTH, this.body.length);
			}
			connection.writeAndFlush(request).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
		}

		private void responseReceived(FullHttpResponse response) {
			end(new Reply(response.status().code(), response.headers(), ByteBufUtil.getBytes(response.content())));
		}

		private void fail(String reason) {
			Channel usedChannel = this.channel;
			end(new Reply(0, EmptyHttpHeaders.INSTANCE, reason.getBytes(StandardCharsets.UTF_8)));
			if (usedChannel != null) {
				usedChannel.close();
			}
		}

		private void end(Reply result) {
			ScheduledFuture<?> pending = this.timeout;
			if (pending != null) {
				pending.cancel(false);
			}
			this.reply.complete(result);
		}

	}

	private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

		private final StrictResponseDecoder decoder;

		private @Nullable Call call;

		private ResponseHandler(StrictResponseDecoder decoder) {
			this.decoder = decoder;
		}

		private void begin(Call begun) {
			this.call = begun;
			this.decoder.awaitResponse(HttpMethod.valueOf(begun.method));
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
			Call pendingCall = this.call;
			this.call = null;
			if (pendingCall == null) {
				context.close();
				return;
			}
			boolean clean = this.decoder.responseComplete();
			if (response.decoderResult().isFailure()) {
				pendingCall.fail("the response is not valid HTTP: " + response.decoderResult().cause());
				return;
			}
			if (clean && HttpUtil.isKeepAlive(response)
					&& EventLoopHttpClient.this.idleConnections.size() < MAX_IDLE_CONNECTIONS) {
				EventLoopHttpClient.this.idleConnections.addLast(context.channel());
			}
			else {
				context.close();
			}
			pendingCall.responseReceived(response);
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			EventLoopHttpClient.this.idleConnections.remove(context.channel());
			Call pendingCall = this.call;
			this.call = null;
			if (pendingCall != null) {
				pendingCall.fail("the server closed the connection");
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			Call pendingCall = this.call;
			this.call = null;
			if (pendingCall != null) {
				pendingCall.fail("connection failed: " + cause.getMessage());
			}
			context.close();
		}

	}

}
