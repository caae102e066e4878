package org.plantainspur.gateway.http;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.target.ConnectFailure;
import org.plantainspur.core.target.TargetProcess;

/**
 * The connection of one attempt, from the pool or a new one. A connection that opens
 * after the attempt has given it up goes to the pool, so that later requests can use it.
 */
final class PathConnection implements ProxyTargetConnectionPool.ConnectionCallback {

	/**
	 * How long a connect usually takes at most. A round trip to another region and a busy
	 * processor take less.
	 */
	static final long USUAL_CONNECT_MS = 150;

	private final EventLoop eventLoop;

	private final ProxyTargetConnectionPool pool;

	private final TargetProcess process;

	private final ProxyTargetConnectionPool.ConnectionUse use;

	private final Listener listener;

	private @Nullable ProxyTargetConnection connection;

	private @Nullable ScheduledFuture<?> overdueTimer;

	private boolean sent;

	private boolean cancelled;

	private boolean settled;

	PathConnection(EventLoop eventLoop, ProxyTargetConnectionPool pool, TargetProcess process,
			ProxyTargetConnectionPool.ConnectionUse use, Listener listener) {
		this.eventLoop = eventLoop;
		this.pool = pool;
		this.process = process;
		this.use = use;
		this.listener = listener;
	}

	void open() {
		this.pool.acquire(this.process, this.use, this);
		if (!this.settled) {
			this.overdueTimer = this.eventLoop.schedule(this.listener::overdue, USUAL_CONNECT_MS,
					TimeUnit.MILLISECONDS);
		}
	}

	@Override
	public void connected(ProxyTargetConnection opened) {
		settle();
		if (this.cancelled) {
			this.pool.release(this.process, opened);
			return;
		}
		this.connection = opened;
		this.listener.opened();
	}

	@Override
	public void failed(ConnectFailure failure) {
		settle();
		if (!this.cancelled) {
			this.listener.notOpened(failure);
		}
	}

	private void settle() {
		this.settled = true;
		ScheduledFuture<?> pending = this.overdueTimer;
		if (pending != null) {
			pending.cancel(false);
		}
	}

	void send(FullHttpRequest request, ProxyTargetConnection.ResponseListener responseListener) {
		this.sent = true;
		openConnection().send(request, this.use.requestId(), responseListener);
	}

	// Returns where the next request will be sent.
	RelayProof.Place place() {
		ProxyTargetConnection opened = openConnection();
		return RelayProof.Place.of(opened.channel().localAddress(), opened.carriedCount());
	}

	private ProxyTargetConnection openConnection() {
		ProxyTargetConnection opened = this.connection;
		if (opened == null) {
			throw new IllegalStateException("the connection is not open yet");
		}
		return opened;
	}

	void cancel() {
		if (this.cancelled) {
			return;
		}
		this.cancelled = true;
		ScheduledFuture<?> pending = this.overdueTimer;
		if (pending != null) {
			pending.cancel(false);
		}
		ProxyTargetConnection opened = this.connection;
		if (opened != null && this.sent) {
			opened.cancel();
		}
		else if (opened != null) {
			this.pool.release(this.process, opened);
		}
	}

	/**
	 * Told once whether the connection has opened, and before that, when it takes long.
	 */
	interface Listener {

		void opened();

		void overdue();

		void notOpened(ConnectFailure failure);

	}

}
