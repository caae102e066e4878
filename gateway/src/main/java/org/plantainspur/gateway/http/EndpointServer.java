package org.plantainspur.gateway.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * Serves the host's own HTTP endpoints by path, such as readiness, the directory of hosts
 * and metrics.
 */
public final class EndpointServer {

	private static final int MAX_REQUEST_BODY_BYTES = 16_384;

	private final Map<String, Function<Query, Response>> endpoints = new HashMap<>();

	private final Consumer<Throwable> failureListener;

	/**
	 * Creates a server without endpoints.
	 * @param failureListener told when an endpoint fails; its caller gets status 500
	 */
	public EndpointServer(Consumer<Throwable> failureListener) {
		this.failureListener = failureListener;
	}

	/**
	 * Adds an endpoint.
	 * @param path the path without a query
	 * @param endpoint computes the response to a query
	 * @return this server
	 */
	public EndpointServer endpoint(String path, Function<Query, Response> endpoint) {
		this.endpoints.put(path, endpoint);
		return this;
	}

	/**
	 * Binds a port; blocks until it is bound. No endpoint may be added afterwards.
	 * @param address the address to listen on
	 * @param eventLoops the event loops that serve the endpoints
	 * @return the listening channel
	 */
	public Channel listen(InetSocketAddress address, EventLoopGroup eventLoops) {
		return new ServerBootstrap().group(eventLoops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST_BODY_BYTES),
								new RequestHandler());
				}

			})
			.bind(address)
			.syncUninterruptibly()
			.channel();
	}

	private Response respond(FullHttpRequest request) {
		if (request.decoderResult().isFailure()) {
			return Response.text(400, "text/plain", "");
		}
		try {
			return respondToValid(request);
		}
		catch (IllegalArgumentException ex) {
			return Response.text(400, "text/plain", String.valueOf(ex.getMessage()));
		}
		catch (RuntimeException ex) {
			this.failureListener.accept(ex);
			return Response.text(500, "text/plain", "");
		}
	}

	private Response respondToValid(FullHttpRequest request) {
		QueryStringDecoder decoder = new QueryStringDecoder(request.uri());
		Function<Query, Response> endpoint = this.endpoints.get(decoder.path());
		if (endpoint == null) {
			return Response.text(404, "text/plain", "");
		}
		Map<String, String> values = new HashMap<>();
		decoder.parameters().forEach((name, occurrences) -> values.put(name, occurrences.get(0)));
		return endpoint.apply(new Query(values));
	}

	/**
	 * The query of a request.
	 *
	 * @param values the first value of each parameter, by the parameter's name
	 */
	public record Query(Map<String, String> values) {
	}

	/**
	 * The response of an endpoint.
	 *
	 * @param status the HTTP status
	 * @param contentType the media type of the body
	 * @param body the content
	 */
	public record Response(int status, String contentType, byte[] body) {

		/**
		 * Returns a response whose body is a text.
		 * @param status the HTTP status
		 * @param contentType the media type of the text
		 * @param text the body, sent in UTF-8
		 * @return the response
		 */
		public static Response text(int status, String contentType, String text) {
			return new Response(status, contentType, text.getBytes(StandardCharsets.UTF_8));
		}

	}

	private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			Response content = respond(request);
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(content.status()), Unpooled.wrappedBuffer(content.body()));
			response.headers().set(HttpHeaderNames.CONTENT_TYPE, content.contentType());
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
			boolean keepAlive = HttpUtil.isKeepAlive(request);
			HttpUtil.setKeepAlive(response, keepAlive);
			var write = context.writeAndFlush(response);
			if (!keepAlive) {
				write.addListener(ChannelFutureListener.CLOSE);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			if (!(cause instanceof IOException)) {
				EndpointServer.this.failureListener.accept(cause);
			}
			context.close();
		}

	}

}
