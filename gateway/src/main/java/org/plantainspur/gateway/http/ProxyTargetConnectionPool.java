package org.plantainspur.gateway.http;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.log.DecisionLog;
import org.plantainspur.core.proxy.BufferBudget;
import org.plantainspur.core.target.ConnectFailure;
import org.plantainspur.core.target.TargetProcess;
import org.plantainspur.core.time.Clock;
import org.plantainspur.gateway.log.ExternalNames;
import org.plantainspur.gateway.log.GatewayMetrics;

/**
 * Connection pool of one event loop for all targets, or for all hosts that relay. Not
 * thread-safe: all calls must come from that event loop.
 */
final class ProxyTargetConnectionPool {

	/**
	 * The longest wait for a connection. A lost SYN packet is sent again only after a
	 * second, so it is faster to try another target.
	 */
	private static final int CONNECT_TIMEOUT_MS = 400;

	/**
	 * Idle connections are closed this long before the target's keep-alive timeout ends,
	 * as the target might close a connection while a request is on its way.
	 */
	private static final long KEEP_ALIVE_MARGIN_MS = 1_000;

	/**
	 * The longest idle time of a connection for a request that cannot be retried. Such a
	 * request would be lost on a connection that the target or the network has silently
	 * dropped.
	 */
	private static final long MAX_IDLE_IF_NOT_RETRYABLE_MS = 500;

	private static final int MAX_IDLE_PER_TARGET = 4;

	private final EventLoop loop;

	private final String requestIdHeader;

	private final Clock clock;

	private final BufferBudget bufferBudget;

	private final DecisionLog log;

	private final GatewayMetrics metrics;

	private final ConnectObserver observer;

	private final Map<TargetProcess, Deque<IdleConnection>> idle = new HashMap<>();

	ProxyTargetConnectionPool(EventLoop loop, ProxyComponents components, ConnectObserver observer) {
		this.loop = loop;
		this.observer = observer;
		this.requestIdHeader = components.headerNames().requestId();
		this.bufferBudget = components.bufferBudget();
		this.clock = components.clock();
		this.log = components.log();
		this.metrics = components.metrics();
	}

	/**
	 * Takes an idle connection from the pool, or opens a new one.
	 * @param process the process to connect to
	 * @param use what the connection is for
	 * @param callback receives the connection, or why there is none
	 */
	void acquire(TargetProcess process, ConnectionUse use, ConnectionCallback callback) {
		IdleConnection pooled = findIdle(process, use);
		if (pooled != null) {
			this.idle.getOrDefault(process, new ArrayDeque<>()).remove(pooled);
			callback.connected(pooled.connection());
			return;
		}
		connect(process, callback);
	}

	/**
	 * Opens a connection and keeps it as an idle one.
	 * @param process the process to connect to
	 */
	void probe(TargetProcess process) {
		connect(process, new ConnectionCallback() {

			@Override
			public void connected(ProxyTargetConnection connection) {
				release(process, connection);
			}

			@Override
			public void failed(ConnectFailure failure) {
				// The observer has been told.
			}

		});
	}

	private void connect(TargetProcess process, ConnectionCallback callback) {
		long startedMs = this.clock.millis();
		ProxyTargetConnection connection = new ProxyTargetConnection(this.requestIdHeader, this.bufferBudget,
				new PoolMembership(process));
		ChannelFuture connecting = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
			.option(ChannelOption.TCP_NODELAY, true)
			.handler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel channel) {
					connection.addTo(channel.pipeline());
				}

			})
			.connect(new InetSocketAddress(process.host(), process.port()));
		connecting.addListener((ChannelFutureListener) (future) -> {
			if (future.isSuccess()) {
				this.observer.connected(process);
				callback.connected(connection);
				return;
			}
			ConnectFailure failure = (future.cause() instanceof ConnectTimeoutException) ? ConnectFailure.SILENT
					: ConnectFailure.REFUSED;
			this.observer.failed(process, failure, startedMs);
			callback.failed(failure);
		});
	}

	/**
	 * Returns whether there is an idle connection for a request.
	 * @param process the process that it leads to
	 * @param use what the connection is for
	 * @return whether {@link #acquire} would open no new one
	 */
	boolean hasIdle(TargetProcess process, ConnectionUse use) {
		return findIdle(process, use) != null;
	}

	private @Nullable IdleConnection findIdle(TargetProcess process, ConnectionUse use) {
		Deque<IdleConnection> idleConnections = this.idle.get(process);
		if (idleConnections == null) {
			return null;
		}
		long now = this.clock.millis();
		Iterator<IdleConnection> latestFirst = idleConnections.descendingIterator();
		while (latestFirst.hasNext()) {
			IdleConnection candidate = latestFirst.next();
			ProxyTargetConnection connection = candidate.connection();
			long idleMs = now - candidate.sinceMs();
			if (!connection.channel().isActive() || idleMs > idleLifetimeMs(connection)) {
				latestFirst.remove();
				connection.channel().close();
			}
			else if ((!use.retryable() && idleMs > MAX_IDLE_IF_NOT_RETRYABLE_MS)
					|| candidate.sinceMs() < use.provenSinceMs()) {
				return null;
			}
			else if (!connection.hasCarried(use.requestId())) {
				return candidate;
			}
		}
		return null;
	}

	/**
	 * Gives back a connection on which nothing was sent.
	 * @param process the process that it leads to
	 * @param connection the connection
	 */
	void release(TargetProcess process, ProxyTargetConnection connection) {
		if (connection.channel().isActive()) {
			new PoolMembership(process).becameIdle(connection);
		}
	}

	private static long idleLifetimeMs(ProxyTargetConnection connection) {
		return connection.keepAliveTimeoutMs() - KEEP_ALIVE_MARGIN_MS;
	}

	/** Closes the idle connections whose keep-alive timeout is about to end. */
	void closeExpired() {
		long now = this.clock.millis();
		Iterator<Deque<IdleConnection>> targets = this.idle.values().iterator();
		while (targets.hasNext()) {
			Deque<IdleConnection> idleConnections = targets.next();
			IdleConnection oldest = idleConnections.peekFirst();
			while (oldest != null && now - oldest.sinceMs() > idleLifetimeMs(oldest.connection())) {
				idleConnections.pollFirst();
				oldest.connection().channel().close();
				oldest = idleConnections.peekFirst();
			}
			if (idleConnections.isEmpty()) {
				targets.remove();
			}
		}
	}

	/**
	 * What a connection is for.
	 *
	 * @param requestId the id of the request, which the connection must not have carried
	 * @param retryable whether the request may be retried if the connection fails
	 * @param provenSinceMs an idle connection must have carried a response since then, in
	 * the clock's milliseconds
	 */
	record ConnectionUse(String requestId, boolean retryable, long provenSinceMs) {
	}

	/**
	 * Told of every connect, before its callback.
	 */
	interface ConnectObserver {

		void connected(TargetProcess process);

		void failed(TargetProcess process, ConnectFailure failure, long startedMs);

	}

	/**
	 * Receives a connection.
	 */
	interface ConnectionCallback {

		void connected(ProxyTargetConnection connection);

		void failed(ConnectFailure failure);

	}

	private record IdleConnection(ProxyTargetConnection connection, long sinceMs) {
	}

	private final class PoolMembership implements ProxyTargetConnection.StateListener {

		private final TargetProcess process;

		private PoolMembership(TargetProcess process) {
			this.process = process;
		}

		@Override
		public void becameIdle(ProxyTargetConnection connection) {
			Deque<IdleConnection> idleConnections = ProxyTargetConnectionPool.this.idle.computeIfAbsent(this.process,
					(key) -> new ArrayDeque<>());
			idleConnections.addLast(new IdleConnection(connection, ProxyTargetConnectionPool.this.clock.millis()));
			if (idleConnections.size() > MAX_IDLE_PER_TARGET) {
				idleConnections.pollFirst().connection().channel().close();
			}
		}

		@Override
		public void receivedUnexpected(ProxyTargetConnection.UnexpectedBytes kind, String requestId) {
			String name = ExternalNames.of(kind);
			ProxyTargetConnectionPool.this.metrics.count("target_unexpected_bytes_total", name);
			ProxyTargetConnectionPool.this.log.event("target-unexpected-bytes", "target", this.process.id(), "kind",
					name, "id", requestId);
		}

		@Override
		public void closed(ProxyTargetConnection connection) {
			Deque<IdleConnection> idleConnections = ProxyTargetConnectionPool.this.idle.get(this.process);
			if (idleConnections != null) {
				idleConnections.removeIf((candidate) -> candidate.connection() == connection);
			}
		}

	}

}
