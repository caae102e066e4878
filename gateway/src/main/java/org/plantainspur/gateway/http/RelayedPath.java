package org.plantainspur.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.jspecify.annotations.Nullable;

import org.plantainspur.core.reach.RelayHost;
import org.plantainspur.core.reach.RelayHosts;
import org.plantainspur.core.target.AttemptOutcome;
import org.plantainspur.core.target.ConnectFailure;
import org.plantainspur.core.target.TargetProcess;
import org.plantainspur.gateway.log.ExternalNames;

/**
 * A connection to another host, which connects to the target. The other host sends the
 * target's response as it is, or one with the header for the outcome.
 */
final class RelayedPath implements AttemptPath, PathConnection.Listener, ProxyTargetConnection.ResponseListener {

	private static final double MS_PER_SECOND = 1_000;

	/** The longest time that another host's lack of room is believed. */
	private static final long MAX_RETRY_AFTER_MS = 2_000;

	private final RelayHosts relayHosts;

	private final RelayProof proof;

	private final RelayHost host;

	private final String targetId;

	private final boolean retryable;

	private final PathConnection connection;

	private @Nullable Listener listener;

	private boolean ended;

	RelayedPath(EventLoop eventLoop, ProxyTargetConnectionPool pool, RelayHosts relayHosts, RelayProof proof,
			RelayHost host, String targetId, ProxyTargetConnectionPool.ConnectionUse use) {
		this.relayHosts = relayHosts;
		this.proof = proof;
		this.host = host;
		this.targetId = targetId;
		this.retryable = use.retryable();
		this.connection = new PathConnection(eventLoop, pool, processOf(host), use, this);
	}

	private static TargetProcess processOf(RelayHost host) {
		return new TargetProcess(host.name(), "", host.address(), host.port(), host.startMs());
	}

	@Override
	public void open(Listener pathListener) {
		this.listener = pathListener;
		this.relayHosts.recordSent(this.host);
		this.connection.open();
	}

	@Override
	public void opened() {
		listener().opened();
	}

	@Override
	public void overdue() {
		this.relayHosts.recordUnavailable(this.host);
		listener().overdue();
	}

	@Override
	public void notOpened(ConnectFailure failure) {
		end();
		this.relayHosts.recordUnavailable(this.host);
		listener().notOpened(failure.reason());
	}

	@Override
	public void send(FullHttpRequest request) {
		request.headers().set(RelayHeaders.TARGET, this.targetId);
		request.headers().set(RelayHeaders.RETRYABLE, this.retryable);
		this.proof.sign(request, this.host.key(), this.connection.place(), System.currentTimeMillis());
		this.connection.send(request, this);
	}

	@Override
	public void cancel() {
		end();
		this.connection.cancel();
	}

	private void end() {
		if (!this.ended) {
			this.ended = true;
			this.relayHosts.recordEnd(this.host);
		}
	}

	@Override
	public void responseReceived(HttpResponse response, ByteBuf body) {
		end();
		String name = response.headers().get(RelayHeaders.OUTCOME);
		if (name == null) {
			this.relayHosts.recordReached(this.host, this.targetId);
			listener().responseReceived(response, body);
			return;
		}
		body.release();
		RelayOutcome outcome = RelayOutcome.byName(name);
		if (outcome == null) {
			listener().ended(new AttemptOutcome.RelayLost("the host answered with the outcome " + name, false));
			return;
		}
		record(outcome, response);
		listener().ended(toAttemptOutcome(outcome, response.headers().get(RelayHeaders.REASON, "")));
	}

	private void record(RelayOutcome outcome, HttpResponse response) {
		switch (outcome) {
			case CUT_OFF -> this.relayHosts.recordCutOff(this.host);
			case TARGET_UNREACHED, WITHHELD -> this.relayHosts.recordUnreached(this.host, this.targetId, true);
			case NOTHING_REACHED -> this.relayHosts.recordUnreached(this.host, this.targetId, false);
			case BUSY -> this.relayHosts.recordBusy(this.host, retryAfterMs(response));
			case STOPPING, REJECTED -> this.relayHosts.recordUnavailable(this.host);
			case BROKEN, TIMED_OUT, CONNECTION_LOST -> this.relayHosts.recordReached(this.host, this.targetId);
		}
	}

	private static long retryAfterMs(HttpResponse response) {
		String retryAfter = response.headers().get("Retry-After", "");
		return retryAfter.matches("\\d{1,6}(\\.\\d{1,9})?")
				? Math.min(MAX_RETRY_AFTER_MS, Math.round(Double.parseDouble(retryAfter) * MS_PER_SECOND)) : 0;
	}

	private static AttemptOutcome toAttemptOutcome(RelayOutcome outcome, String reason) {
		return switch (outcome) {
			case BROKEN -> new AttemptOutcome.Broken(reason);
			case TIMED_OUT -> new AttemptOutcome.TimedOut();
			case CONNECTION_LOST -> new AttemptOutcome.ConnectionLost(reason);
			case WITHHELD -> new AttemptOutcome.Withheld();
			case STOPPING, CUT_OFF, TARGET_UNREACHED, NOTHING_REACHED, BUSY, REJECTED ->
				new AttemptOutcome.NotSent("not relayed: " + ExternalNames.of(outcome));
		};
	}

	@Override
	public void failed(String reason) {
		lost(reason);
	}

	@Override
	public void connectionLost(String reason) {
		lost(reason);
	}

	private void lost(String reason) {
		end();
		this.relayHosts.recordUnavailable(this.host);
		listener().ended(new AttemptOutcome.RelayLost(reason, false));
	}

	@Override
	public AttemptOutcome timedOut() {
		return new AttemptOutcome.RelayLost("no response in time", true);
	}

	@Override
	public String description() {
		return "over " + this.host.name();
	}

	private Listener listener() {
		Listener pathListener = this.listener;
		if (pathListener == null) {
			throw new IllegalStateException("the path was not opened");
		}
		return pathListener;
	}

}
