package org.plantainspur.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.reach.DirectPaths;
import org.plantainspur.core.target.AttemptOutcome;
import org.plantainspur.core.target.ConnectFailure;
import org.plantainspur.core.target.TargetProcess;
import org.plantainspur.core.time.Clock;

/**
 * A connection of this host to the target.
 */
final class DirectPath implements AttemptPath, PathConnection.Listener, ProxyTargetConnection.ResponseListener {

	private final DirectPaths directPaths;

	private final Clock clock;

	private final TargetProcess target;

	private final PathConnection connection;

	private @Nullable Listener listener;

	private long startedMs;

	DirectPath(EventLoop eventLoop, ProxyTargetConnectionPool pool, DirectPaths directPaths, Clock clock,
			TargetProcess target, ProxyTargetConnectionPool.ConnectionUse use) {
		this.directPaths = directPaths;
		this.clock = clock;
		this.target = target;
		this.connection = new PathConnection(eventLoop, pool, target, use, this);
	}

	@Override
	public void open(Listener pathListener) {
		this.listener = pathListener;
		this.startedMs = this.clock.millis();
		this.connection.open();
	}

	@Override
	public void opened() {
		listener().opened();
	}

	@Override
	public void overdue() {
		this.directPaths.recordFailed(this.target, ConnectFailure.SILENT, this.startedMs);
		listener().overdue();
	}

	@Override
	public void notOpened(ConnectFailure failure) {
		listener().notOpened(failure.reason());
	}

	@Override
	public void send(FullHttpRequest request) {
		this.connection.send(request, this);
	}

	@Override
	public void cancel() {
		this.connection.cancel();
	}

	@Override
	public void responseReceived(HttpResponse response, ByteBuf body) {
		this.directPaths.recordAnswered(this.target);
		listener().responseReceived(response, body);
	}

	@Override
	public void failed(String reason) {
		listener().ended(new AttemptOutcome.Broken(reason));
	}

	@Override
	public void connectionLost(String reason) {
		listener().ended(new AttemptOutcome.ConnectionLost(reason));
	}

	@Override
	public AttemptOutcome timedOut() {
		this.directPaths.recordUnanswered(this.target, this.startedMs);
		return new AttemptOutcome.TimedOut();
	}

	@Override
	public String description() {
		return "";
	}

	private Listener listener() {
		Listener pathListener = this.listener;
		if (pathListener == null) {
			throw new IllegalStateException("the path was not opened");
		}
		return pathListener;
	}

}
