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
 * Accepts the connections of hosts that are cut off from targets and relays their
 * attempts.
 */
public final class RelayServer {

	/** Room for the headers that hosts add to those of a caller. */
	private static final int ADDED_HEADER_BYTES = 2_048;

	/** Longer than a host keeps an idle connection for its attempts. */
	private static final long IDLE_TIMEOUT_MS = 10_000;

	private final ProxyComponents components;

	private final EventLoopPaths paths;

	private final AtomicInteger openRequests;

	/**
	 * Creates a server that does not listen yet.
	 * @param components the objects that all requests of the host use
	 * @param paths the paths to the targets
	 * @param openRequests set to the number of requests that have no response yet
	 */
	public RelayServer(ProxyComponents components, EventLoopPaths paths, AtomicInteger openRequests) {
		this.components = components;
		this.paths = paths;
		this.openRequests = openRequests;
	}

	/**
	 * Binds the port; blocks until it is bound.
	 * @param address the address to listen on
	 * @param eventLoops the event loops that carry requests
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
					initializePipeline(channel);
				}

			})
			.bind(address)
			.syncUninterruptibly()
			.channel();
	}

	private void initializePipeline(SocketChannel channel) {
		CallerLimits limits = this.components.desiredState().current().limits();
		int maxBodyBytes = (int) Math.min(Integer.MAX_VALUE, limits.maxBodyBytes());
		RequestBodyLimiter bodyLimiter = new RequestBodyLimiter(this.components.bufferBudget(), maxBodyBytes,
				this.components.clock());
		channel.pipeline()
			.addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_MS, TimeUnit.MILLISECONDS),
					new StrictRequestDecoder(limits.maxHeaderBytes() + ADDED_HEADER_BYTES), new HttpResponseEncoder(),
					bodyLimiter, new HttpObjectAggregator(maxBodyBytes), new RelayConnection(this.components,
							this.paths.of(channel.eventLoop()), bodyLimiter, this.openRequests));
	}

}
