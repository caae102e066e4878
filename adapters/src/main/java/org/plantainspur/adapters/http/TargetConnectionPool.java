package org.plantainspur.adapters.http;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.IntSupplier;

import org.apache.hc.client5.http.HttpRoute;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManager;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.util.Timeout;

import org.plantainspur.core.routing.Target;

/**
 * Pool of HTTP connections to targets. The connection limit of each target is divided
 * evenly among the member hosts, but each host may open at least one connection.
 */
final class TargetConnectionPool {

	private static final Timeout CONNECT_TIMEOUT = Timeout.ofMilliseconds(1000);

	private final ConcurrentMap<HttpHost, Integer> appliedLimits = new ConcurrentHashMap<>();

	private final IntSupplier memberCount;

	private final PoolingHttpClientConnectionManager manager;

	/**
	 * Creates an empty pool.
	 * @param memberCount returns the number of member hosts
	 */
	TargetConnectionPool(IntSupplier memberCount) {
		this.memberCount = memberCount;
		this.manager = StrictConnections.channelManagerBuilder("target")
			.setMaxConnPerRoute(1)
			.setMaxConnTotal(Integer.MAX_VALUE)
			.setDefaultSocketConfig(SocketConfig.custom().setTcpNoDelay(true).build())
			.setDefaultConnectionConfig(StrictConnections.configBuilder().setConnectTimeout(CONNECT_TIMEOUT).build())
			.build();
	}

	PoolingHttpClientConnectionManager manager() {
		return this.manager;
	}

	/**
	 * Sets this host's connection limit for a target if it has changed.
	 * @param target the target
	 * @param host the address of the target
	 */
	void updateLimit(Target target, HttpHost host) {
		int limit = limit(target);
		Integer appliedLimit = this.appliedLimits.get(host);
		if (appliedLimit == null || appliedLimit != limit) {
			this.appliedLimits.put(host, limit);
			this.manager.setMaxPerRoute(new HttpRoute(host), limit);
		}
	}

	int limit(Target target) {
		return Math.max(1, target.connections() / Math.max(1, this.memberCount.getAsInt()));
	}

}
