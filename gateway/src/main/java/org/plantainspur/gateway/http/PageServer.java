package org.plantainspur.gateway.http;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
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
 * Serves the host's own small pages by path: readiness, where to connect, metrics.
 */
public final class PageServer {

	private static final int MAX_REQUEST_BYTES = 16_384;

	private final Map<String, Function<Query, Page>> pages = new HashMap<>();

	/**
	 * Adds a page.
	 * @param path its path
	 * @param page gives its content
	 * @return this server
	 */
	public PageServer page(String path, Function<Query, Page> page) {
		this.pages.put(path, page);
		return this;
	}

	/**
	 * Begins to listen; no page may be added afterwards.
	 * @param address where
	 * @param loops the event loops that serve
	 * @return the listening channel
	 */
	public Channel listen(InetSocketAddress address, EventLoopGroup loops) {
		return new ServerBootstrap().group(loops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_REQUEST_BYTES), new Handler());
				}

			})
			.bind(address)
			.syncUninterruptibly()
			.channel();
	}

	private Page answer(FullHttpRequest request) {
		if (request.decoderResult().isFailure()) {
			return Page.text(400, "text/plain", "");
		}
		QueryStringDecoder decoder = new QueryStringDecoder(request.uri());
		Function<Query, Page> page = this.pages.get(decoder.path());
		if (page == null) {
			return Page.text(404, "text/plain", "");
		}
		Map<String, String> values = new HashMap<>();
		decoder.parameters().forEach((name, all) -> values.put(name, all.get(0)));
		return page.apply(new Query(values));
	}

	/**
	 * The query of a request.
	 *
	 * @param values the first value of each parameter
	 */
	public record Query(Map<String, String> values) {
	}

	/**
	 * A page's answer.
	 *
	 * @param status the HTTP status
	 * @param type the content type
	 * @param body the content
	 */
	public record Page(int status, String type, byte[] body) {

		/**
		 * Returns a page of text.
		 * @param status the HTTP status
		 * @param type the content type
		 * @param text the content
		 * @return the page
		 */
		public static Page text(int status, String type, String text) {
			return new Page(status, type, text.getBytes(StandardCharsets.UTF_8));
		}

	}

	private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
			Page page = answer(request);
			DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(page.status()), Unpooled.wrappedBuffer(page.body()));
			response.headers().set(HttpHeaderNames.CONTENT_TYPE, page.type());
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
			boolean keepAlive = HttpUtil.isKeepAlive(request);
			HttpUtil.setKeepAlive(response, keepAlive);
			var written = context.writeAndFlush(response);
			if (!keepAlive) {
				written.addListener(ChannelFutureListener.CLOSE);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
