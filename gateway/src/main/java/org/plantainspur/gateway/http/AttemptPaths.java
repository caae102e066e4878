package org.plantainspur.gateway.http;

import io.netty.channel.EventLoop;

import org.plantainspur.core.reach.PathChooser;
import org.plantainspur.core.reach.TargetPath;
import org.plantainspur.core.target.ConnectFailure;
import org.plantainspur.core.target.ObservedTarget;
import org.plantainspur.core.target.TargetProcess;
import org.plantainspur.core.target.TargetSelector;
import org.plantainspur.gateway.log.ExternalNames;

/**
 * Creates the paths of the attempts of one event loop, with its connections to targets
 * and to other hosts. Not thread-safe: all calls must come from that event loop.
 */
final class AttemptPaths {

	private final ProxyComponents components;

	private final EventLoop eventLoop;

	private final ProxyTargetConnectionPool targetPool;

	private final ProxyTargetConnectionPool relayPool;

	AttemptPaths(EventLoop eventLoop, ProxyComponents components) {
		this.components = components;
		this.eventLoop = eventLoop;
		this.targetPool = new ProxyTargetConnectionPool(eventLoop, components, new TargetConnects());
		this.relayPool = new ProxyTargetConnectionPool(eventLoop, components, new RelayConnects());
	}

	/**
	 * Returns the open connections that an attempt could use.
	 * @param requestId the id of the attempt's request
	 * @param retryable whether the request may be retried if its connection fails
	 * @return a view of the connections
	 */
	PathChooser.OpenConnections openConnections(String requestId, boolean retryable) {
		return (target, provenSinceMs) -> this.targetPool.hasIdle(target.listing().process(),
				new ProxyTargetConnectionPool.ConnectionUse(requestId, retryable, provenSinceMs));
	}

	/**
	 * Creates the path of an attempt.
	 * @param selection the attempt's target and how to reach it
	 * @param requestId the id of the attempt's request
	 * @param retryable whether the request may be retried if its connection fails
	 * @return a path that is not open yet
	 */
	AttemptPath create(TargetSelector.Selection selection, String requestId, boolean retryable) {
		if (selection.path() instanceof TargetPath.Relayed relayed) {
			this.components.metrics().count("relayed_requests_total", "sent");
			return new RelayedPath(this.eventLoop, this.relayPool, this.components.paths().relayHosts(),
					this.components.paths().relayProof(), relayed.host(), selection.target().listing().id(),
					new ProxyTargetConnectionPool.ConnectionUse(requestId, retryable, Long.MIN_VALUE));
		}
		return direct(selection.target(), requestId, retryable);
	}

	/**
	 * Creates a direct path to a target.
	 * @param target the target
	 * @param requestId the id of the attempt's request
	 * @param retryable whether the request may be retried if its connection fails
	 * @return a path that is not open yet
	 */
	AttemptPath direct(ObservedTarget target, String requestId, boolean retryable) {
		TargetProcess process = target.listing().process();
		long provenSinceMs = this.components.paths().directPaths().connectionsProvenSinceMs(process);
		return new DirectPath(this.eventLoop, this.targetPool, this.components.paths().directPaths(),
				this.components.clock(), process,
				new ProxyTargetConnectionPool.ConnectionUse(requestId, retryable, provenSinceMs));
	}

	// Connects to a target without a request.
	void probe(ObservedTarget target) {
		this.targetPool.probe(target.listing().process());
	}

	/** Closes the idle connections whose keep-alive timeout is about to end. */
	void closeExpired() {
		this.targetPool.closeExpired();
		this.relayPool.closeExpired();
	}

	private final class TargetConnects implements ProxyTargetConnectionPool.ConnectObserver {

		@Override
		public void connected(TargetProcess process) {
			AttemptPaths.this.components.paths().directPaths().recordConnected(process);
		}

		@Override
		public void failed(TargetProcess process, ConnectFailure failure, long startedMs) {
			AttemptPaths.this.components.paths().directPaths().recordFailed(process, failure, startedMs);
			AttemptPaths.this.components.metrics().count("target_connects_failed_total", ExternalNames.of(failure));
		}

	}

	private final class RelayConnects implements ProxyTargetConnectionPool.ConnectObserver {

		@Override
		public void connected(TargetProcess process) {
			AttemptPaths.this.components.metrics().count("relay_connects_total", "connected");
		}

		@Override
		public void failed(TargetProcess process, ConnectFailure failure, long startedMs) {
			AttemptPaths.this.components.metrics().count("relay_connects_total", ExternalNames.of(failure));
		}

	}

}
