package org.plantainspur.gateway.http;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.timeout.IdleStateHandler;

import org.plantainspur.core.desired.CallerLimits;

/**
 * Listens for callers and proxies their requests.
 */
public final class CallerServer {

	private static final int BACKLOG = 1_024;

	/** How often idle connections to targets are looked over. */
	private static final long CLOSE_OLD_MS = 500;

	private final ProxyParts parts;

	private final EventLoopGroup loops;

	private final Map<EventLoop, TargetConnections> connections = new ConcurrentHashMap<>();

	private final AtomicInteger openRequests;

	/**
	 * Creates a server that does not listen yet.
	 * @param parts what all requests share
	 * @param loops the event loops that carry requests
	 * @param openRequests counts the requests that have no answer yet
	 */
	public CallerServer(ProxyParts parts, EventLoopGroup loops, AtomicInteger openRequests) {
		this.parts = parts;
		this.loops = loops;
		this.openRequests = openRequests;
	}

	/**
	 * Begins to listen.
	 * @param address where
	 * @return the listening channel
	 */
	public Channel listen(InetSocketAddress address) {
		return new ServerBootstrap().group(this.loops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_KEEPALIVE, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					accept(channel);
				}

			})
			.bind(address)
			.syncUninterruptibly()
			.channel();
	}

	private void accept(SocketChannel channel) {
		CallerLimits limits = this.parts.desired().current().limits();
		TargetConnections own = this.connections.computeIfAbsent(channel.eventLoop(), this::connections);
		channel.pipeline()
			.addLast(new IdleStateHandler(0, 0, limits.idleTimeoutMs(), TimeUnit.MILLISECONDS),
					new StrictRequestDecoder(limits.maxHeaderBytes()), new HttpResponseEncoder(),
					new HttpObjectAggregator((int) Math.min(Integer.MAX_VALUE, limits.maxBodyBytes())),
					new CallerConnection(this.parts, own, new CallerConnection.OpenRequests() {

						@Override
						public void began() {
							CallerServer.this.openRequests.incrementAndGet();
						}

						@Override
						public void ended() {
							CallerServer.this.openRequests.decrementAndGet();
						}

					}));
	}

	private TargetConnections connections(EventLoop loop) {
		TargetConnections created = new TargetConnections(loop, this.parts.headers().requestId(), this.parts.clock());
		loop.scheduleWithFixedDelay(created::closeOld, CLOSE_OLD_MS, CLOSE_OLD_MS, TimeUnit.MILLISECONDS);
		return created;
	}

}
