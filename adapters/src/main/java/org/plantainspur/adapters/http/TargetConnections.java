package org.plantainspur.adapters.http;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.IntSupplier;

import org.apache.hc.client5.http.HttpRoute;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManager;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

import org.plantainspur.core.routing.Target;

/**
 * The pooled connections to targets. A target's connection limit is divided among the
 * members.
 */
final class TargetConnections {

	private static final Timeout CONNECT_TIMEOUT = Timeout.ofMilliseconds(1000);

	/**
	 * The check of an idle connection blocks for 1 ms when the connection is alive, which
	 * is a third of the latency budget. Only a non-idempotent request pays it each time;
	 * its outcome would be unknown if the target had just closed the connection.
	 */
	private static final ConnectionConfig CHECKED_ALWAYS = config(TimeValue.ZERO_MILLISECONDS);

	private static final ConnectionConfig CHECKED_WHEN_IDLE = config(TimeValue.ofMilliseconds(500));

	private final ThreadLocal<ConnectionConfig> config = ThreadLocal.withInitial(() -> CHECKED_WHEN_IDLE);

	private final ConcurrentMap<HttpHost, Integer> limits = new ConcurrentHashMap<>();

	private final IntSupplier members;

	private final PoolingHttpClientConnectionManager manager;

	/**
	 * Creates an empty pool.
	 * @param members gives the number of members
	 */
	TargetConnections(IntSupplier members) {
		this.members = members;
		this.manager = PoolingHttpClientConnectionManagerBuilder.create()
			.setMaxConnPerRoute(1)
			.setMaxConnTotal(Integer.MAX_VALUE)
			.setDefaultSocketConfig(SocketConfig.custom().setTcpNoDelay(true).build())
			.setConnectionConfigResolver((route) -> this.config.get())
			.build();
	}

	private static ConnectionConfig config(TimeValue validateAfter) {
		return ConnectionConfig.custom()
			.setConnectTimeout(CONNECT_TIMEOUT)
			.setValidateAfterInactivity(validateAfter)
			.build();
	}

	PoolingHttpClientConnectionManager manager() {
		return this.manager;
	}

	/**
	 * Prepares the pool for a request of the calling thread.
	 * @param target the target
	 * @param host the target's address
	 * @param idempotent whether the request may run more than once
	 */
	void prepare(Target target, HttpHost host, boolean idempotent) {
		this.config.set(idempotent ? CHECKED_WHEN_IDLE : CHECKED_ALWAYS);
		int limit = limit(target);
		Integer present = this.limits.get(host);
		if (present == null || present != limit) {
			this.limits.put(host, limit);
			this.manager.setMaxPerRoute(new HttpRoute(host), limit);
		}
	}

	int limit(Target target) {
		return Math.max(1, target.connections() / Math.max(1, this.members.getAsInt()));
	}

}
