package org.plantainspur.adapters.http;

import java.nio.channels.SocketChannel;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntSupplier;

import org.apache.hc.client5.http.DnsResolver;
import org.apache.hc.client5.http.HttpRoute;
import org.apache.hc.client5.http.SchemePortResolver;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.impl.io.DefaultHttpClientConnectionOperator;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManager;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.client5.http.io.HttpClientConnectionOperator;
import org.apache.hc.client5.http.ssl.TlsSocketStrategy;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.config.RegistryBuilder;
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
	 * Every connection is checked before each use: the outcome of a request would be
	 * unknown if the target had just closed the connection.
	 */
	private static final ConnectionConfig CONFIG = ConnectionConfig.custom()
		.setConnectTimeout(CONNECT_TIMEOUT)
		.setValidateAfterInactivity(TimeValue.ZERO_MILLISECONDS)
		.build();

	private final AtomicLong created = new AtomicLong();

	private final ConcurrentMap<HttpHost, Integer> limits = new ConcurrentHashMap<>();

	private final IntSupplier members;

	private final PoolingHttpClientConnectionManager manager;

	/**
	 * Creates an empty pool.
	 * @param members gives the number of members
	 */
	TargetConnections(IntSupplier members) {
		this.members = members;
		this.manager = new ChannelConnections()
			.setConnectionFactory((socket) -> new TargetConnection("target-" + this.created.incrementAndGet()))
			.setMaxConnPerRoute(1)
			.setMaxConnTotal(Integer.MAX_VALUE)
			.setDefaultSocketConfig(SocketConfig.custom().setTcpNoDelay(true).build())
			.setDefaultConnectionConfig(CONFIG)
			.build();
	}

	PoolingHttpClientConnectionManager manager() {
		return this.manager;
	}

	/**
	 * Prepares the pool for a request of the calling thread.
	 * @param target the target
	 * @param host the target's address
	 */
	void prepare(Target target, HttpHost host) {
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

	/**
	 * Opens sockets with channels, which {@link ProbedSocket} needs.
	 */
	private static final class ChannelConnections extends PoolingHttpClientConnectionManagerBuilder {

		@Override
		protected HttpClientConnectionOperator createConnectionOperator(SchemePortResolver ports, DnsResolver names,
				TlsSocketStrategy tls) {
			return new DefaultHttpClientConnectionOperator((proxy) -> SocketChannel.open().socket(), ports, names,
					RegistryBuilder.<TlsSocketStrategy>create().build());
		}

	}

}
