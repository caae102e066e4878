package org.plantainspur.gateway.http;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;

import org.plantainspur.core.target.ObservedTarget;

/**
 * The paths of attempts by the event loop that carries them. Thread-safe.
 */
public final class EventLoopPaths {

	/**
	 * How often idle connections are checked, and closed if their keep-alive timeout is
	 * about to end.
	 */
	private static final long IDLE_SWEEP_INTERVAL_MS = 500;

	private final ProxyComponents components;

	private final Map<EventLoop, AttemptPaths> byLoop = new ConcurrentHashMap<>();

	/**
	 * Creates a set without connections.
	 * @param components the objects that all requests of the host use
	 */
	public EventLoopPaths(ProxyComponents components) {
		this.components = components;
	}

	AttemptPaths of(EventLoop loop) {
		return this.byLoop.computeIfAbsent(loop, this::create);
	}

	private AttemptPaths create(EventLoop loop) {
		AttemptPaths paths = new AttemptPaths(loop, this.components);
		loop.scheduleWithFixedDelay(paths::closeExpired, IDLE_SWEEP_INTERVAL_MS, IDLE_SWEEP_INTERVAL_MS,
				TimeUnit.MILLISECONDS);
		return paths;
	}

	/**
	 * Connects to targets without a request, to find out whether they are reached.
	 * @param loop the event loop that keeps the connections
	 * @param targets the targets
	 */
	public void probe(EventLoop loop, List<ObservedTarget> targets) {
		if (!targets.isEmpty()) {
			loop.execute(() -> targets.forEach(of(loop)::probe));
		}
	}

}
