package org.plantainspur.gateway.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
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
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

/**
 * Makes HTTP calls to one address, each on a connection of its own while it runs. A call
 * without an answer ends by its timeout and closes its connection.
 */
public final class HttpCalls {

	private static final int CONNECT_TIMEOUT_MS = 1_000;

	private static final int MAX_ANSWER_BYTES = 16 << 20;

	private static final int MAX_IDLE = 4;

	private final EventLoop loop;

	private final InetSocketAddress address;

	private final Deque<Channel> idle = new ArrayDeque<>();

	public HttpCalls(EventLoop loop, InetSocketAddress address) {
		this.loop = loop;
		this.address = address;
	}

	/**
	 * Makes a call.
	 * @param method the HTTP method
	 * @param uri the path and query
	 * @param body the body, empty for none
	 * @param timeoutMs the longest wait for the answer, in milliseconds
	 * @return the answer; status 0 if there was none, with the reason as its body
	 */
	public CompletionStage<Reply> call(String method, String uri, byte[] body, long timeoutMs) {
		Call call = new Call(method, uri, body);
		this.loop.execute(() -> {
			call.timeout = this.loop.schedule(() -> call.fail("no answer within " + timeoutMs + " ms"), timeoutMs,
					TimeUnit.MILLISECONDS);
			start(call);
		});
		return call.reply;
	}

	private void start(Call call) {
		Channel kept = this.idle.pollLast();
		while (kept != null && !kept.isActive()) {
			kept = this.idle.pollLast();
		}
		if (kept != null) {
			call.send(kept);
			return;
		}
		new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_ANSWER_BYTES), new Handler());
				}

			})
			.connect(this.address)
			.addListener((ChannelFutureListener) (future) -> {
				if (future.isSuccess()) {
					call.send(future.channel());
				}
				else {
					call.fail("no connection: " + future.cause().getMessage());
				}
			});
	}

	/**
	 * The answer to a call.
	 *
	 * @param status the HTTP status, 0 without an answer
	 * @param body the body, or why there was no answer
	 */
	public record Reply(int status, byte[] body) {

		/**
		 * Returns the body as text, for messages.
		 * @return at most 200 characters
		 */
		public String text() {
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

		private void send(Channel to) {
			if (this.reply.isDone()) {
				to.close();
				return;
			}
			this.channel = to;
			to.pipeline().get(Handler.class).call = this;
			DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1,
					HttpMethod.valueOf(this.method), this.uri, Unpooled.wrappedBuffer(this.body));
			request.headers()
				.set(HttpHeaderNames.HOST,
						HttpCalls.this.address.getHostString() + ":" + HttpCalls.this.address.getPort());
			if (this.body.length > 0) {
				request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
				request.headers().set(HttpHeaderNames.CONTENT_LENGTH, this.body.length);
			}
			to.writeAndFlush(request).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
		}

		private void answered(FullHttpResponse response) {
			end(new Reply(response.status().code(), ByteBufUtil.getBytes(response.content())));
		}

		private void fail(String reason) {
			Channel used = this.channel;
			end(new Reply(0, reason.getBytes(StandardCharsets.UTF_8)));
			if (used != null) {
				used.close();
			}
		}

		private void end(Reply with) {
			ScheduledFuture<?> pending = this.timeout;
			if (pending != null) {
				pending.cancel(false);
			}
			this.reply.complete(with);
		}

	}

	private final class Handler extends SimpleChannelInboundHandler<FullHttpResponse> {

		private @Nullable Call call;

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
			Call running = this.call;
			this.call = null;
			if (running == null) {
				context.close();
				return;
			}
			if (HttpUtil.isKeepAlive(response) && HttpCalls.this.idle.size() < MAX_IDLE) {
				HttpCalls.this.idle.addLast(context.channel());
			}
			else {
				context.close();
			}
			running.answered(response);
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			HttpCalls.this.idle.remove(context.channel());
			Call running = this.call;
			this.call = null;
			if (running != null) {
				running.fail("the store closed the connection");
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			Call running = this.call;
			this.call = null;
			if (running != null) {
				running.fail("connection failed: " + cause.getMessage());
			}
			context.close();
		}

	}

}
