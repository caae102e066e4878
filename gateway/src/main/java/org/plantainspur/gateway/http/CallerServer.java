package org.plantainspur.gateway.http;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.timeout.IdleStateHandler;

import org.plantainspur.core.desired.CallerLimits;

/**
 * Accepts the connections of callers and proxies their requests to targets.
 */
public final class CallerServer {

	private static final int LISTEN_BACKLOG = 1_024;

	private final ProxyComponents components;

	private final EventLoopGroup eventLoops;

	private final EventLoopPaths paths;

	private final AtomicInteger openRequests;

	private final CallerChannels callerChannels;

	/**
	 * Creates a server that does not listen yet.
	 * @param components the objects that all requests of the host use
	 * @param paths the paths to the targets
	 * @param eventLoops the event loops that carry requests
	 * @param openRequests set to the number of requests that have no response yet
	 * @param callerChannels receives the port and the connections
	 */
	public CallerServer(ProxyComponents components, EventLoopPaths paths, EventLoopGroup eventLoops,
			AtomicInteger openRequests, CallerChannels callerChannels) {
		this.components = components;
		this.paths = paths;
		this.eventLoops = eventLoops;
		this.openRequests = openRequests;
		this.callerChannels = callerChannels;
	}

	/**
	 * Binds the callers' port; blocks until it is bound.
	 * @param address the address to listen on
	 * @return the listening channel
	 */
	public Channel listen(InetSocketAddress address) {
		Channel port = new ServerBootstrap().group(this.eventLoops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childOption(ChannelOption.SO_KEEPALIVE, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					initializePipeline(channel);
				}

			})
			.bind(address)
			.syncUninterruptibly()
			.channel();
		this.callerChannels.add(port);
		return port;
	}

	private void initializePipeline(SocketChannel channel) {
		this.callerChannels.add(channel);
		CallerLimits limits = this.components.desiredState().current().limits();
		int maxBodyBytes = (int) Math.min(Integer.MAX_VALUE, limits.maxBodyBytes());
		RequestBodyLimiter bodyLimiter = new RequestBodyLimiter(this.components.bufferBudget(), maxBodyBytes,
				this.components.clock());
		channel.pipeline()
			.addLast(new IdleStateHandler(0, 0, limits.idleTimeoutMs(), TimeUnit.MILLISECONDS),
					new StrictRequestDecoder(limits.maxHeaderBytes()), new HttpResponseEncoder(), bodyLimiter,
					new HttpObjectAggregator(maxBodyBytes), new CallerConnection(this.components,
							this.paths.of(channel.eventLoop()), bodyLimiter, new CallerConnection.OpenRequestCounter() {

								@Override
								public void increment() {
									CallerServer.this.openRequests.incrementAndGet();
								}

								@Override
								public void decrement() {
									CallerServer.this.openRequests.decrementAndGet();
								}

							}));
	}

}
