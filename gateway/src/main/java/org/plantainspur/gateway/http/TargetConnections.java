package org.plantainspur.gateway.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.target.TargetListing;
import org.plantainspur.core.time.Clock;

/**
 * The connections of one event loop to the targets. Not thread-safe: all calls come on
 * that event loop.
 */
final class TargetConnections {

	/**
	 * A lost opening packet is sent again after a second; another target is tried sooner.
	 */
	private static final int CONNECT_TIMEOUT_MS = 400;

	/** The target may close while a request is on its way; closed this much sooner. */
	private static final long KEEP_ALIVE_MARGIN_MS = 1_000;

	/**
	 * A request that cannot be repeated is lost on a connection that went silent or that
	 * the target has forgotten, so only a connection that was just used carries one.
	 */
	private static final long FRESH_MS = 500;

	private static final int MAX_IDLE_PER_TARGET = 4;

	private final EventLoop loop;

	private final String requestIdHeader;

	private final Clock clock;

	private final Map<String, Deque<IdleConnection>> idle = new HashMap<>();

	TargetConnections(EventLoop loop, String requestIdHeader, Clock clock) {
		this.loop = loop;
		this.requestIdHeader = requestIdHeader;
		this.clock = clock;
	}

	/**
	 * Gives a connection to a target, an idle one if there is one.
	 * @param target the target
	 * @param repeatable whether the request may be repeated if the connection fails
	 * @param ready told of the connection, or of {@code null} if there is none
	 */
	void connect(TargetListing target, boolean repeatable, Consumer<@Nullable TargetConnection> ready) {
		TargetConnection kept = takeIdle(target.id(), repeatable);
		if (kept != null) {
			ready.accept(kept);
			return;
		}
		TargetConnection connection = new TargetConnection(this.requestIdHeader, new Returns(target.id()));
		ChannelFuture connecting = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline().addLast(new HttpClientCodec(), connection);
				}

			})
			.connect(new InetSocketAddress(target.host(), target.port()));
		connecting
			.addListener((ChannelFutureListener) (future) -> ready.accept(future.isSuccess() ? connection : null));
	}

	private @Nullable TargetConnection takeIdle(String id, boolean repeatable) {
		Deque<IdleConnection> kept = this.idle.get(id);
		if (kept == null) {
			return null;
		}
		long now = this.clock.millis();
		IdleConnection latest = kept.peekLast();
		while (latest != null) {
			long idleMs = now - latest.sinceMs();
			if (!latest.connection().channel().isActive() || idleMs > lifetimeMs(latest.connection())) {
				kept.pollLast();
				latest.connection().channel().close();
				latest = kept.peekLast();
				continue;
			}
			if (!repeatable && idleMs > FRESH_MS) {
				return null;
			}
			kept.pollLast();
			return latest.connection();
		}
		return null;
	}

	private static long lifetimeMs(TargetConnection connection) {
		return connection.keepAliveMs() - KEEP_ALIVE_MARGIN_MS;
	}

	/** Closes idle connections before their targets do. */
	void closeOld() {
		long now = this.clock.millis();
		Iterator<Deque<IdleConnection>> all = this.idle.values().iterator();
		while (all.hasNext()) {
			Deque<IdleConnection> kept = all.next();
			IdleConnection oldest = kept.peekFirst();
			while (oldest != null && now - oldest.sinceMs() > lifetimeMs(oldest.connection())) {
				kept.pollFirst();
				oldest.connection().channel().close();
				oldest = kept.peekFirst();
			}
			if (kept.isEmpty()) {
				all.remove();
			}
		}
	}

	private record IdleConnection(TargetConnection connection, long sinceMs) {
	}

	private final class Returns implements TargetConnection.Idle {

		private final String target;

		private Returns(String target) {
			this.target = target;
		}

		@Override
		public void idle(TargetConnection connection) {
			Deque<IdleConnection> kept = TargetConnections.this.idle.computeIfAbsent(this.target,
					(id) -> new ArrayDeque<>());
			kept.addLast(new IdleConnection(connection, TargetConnections.this.clock.millis()));
			if (kept.size() > MAX_IDLE_PER_TARGET) {
				kept.pollFirst().connection().channel().close();
			}
		}

		@Override
		public void closed(TargetConnection connection) {
			Deque<IdleConnection> kept = TargetConnections.this.idle.get(this.target);
			if (kept != null) {
				kept.removeIf((candidate) -> candidate.connection() == connection);
			}
		}

	}

}
