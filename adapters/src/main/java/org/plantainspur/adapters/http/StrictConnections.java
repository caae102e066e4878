package org.plantainspur.adapters.http;

import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.hc.client5.http.DnsResolver;
import org.apache.hc.client5.http.SchemePortResolver;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.impl.io.DefaultHttpClientConnectionOperator;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.client5.http.io.HttpClientConnectionOperator;
import org.apache.hc.client5.http.ssl.DefaultClientTlsStrategy;
import org.apache.hc.client5.http.ssl.TlsSocketStrategy;
import org.apache.hc.core5.http.config.RegistryBuilder;
import org.apache.hc.core5.util.TimeValue;
import org.jspecify.annotations.Nullable;

/**
 * Settings for pools of HTTP connections that accept complete responses only. A response
 * must have a Content-Length, chunks or a status without a body, and a connection with
 * input that belongs to no request is not used again.
 */
public final class StrictConnections {

	private StrictConnections() {
	}

	/**
	 * Creates the builder of a pool. Its sockets use the SOCKS proxy of the JVM's
	 * settings, if there is one, and each check of a pooled connection waits 1 ms for
	 * input. The connection configuration must come from {@link #configBuilder()}.
	 * @param name the beginning of the names of the connections in HttpClient's log
	 * @return the builder
	 */
	public static PoolingHttpClientConnectionManagerBuilder managerBuilder(String name) {
		return withStrictConnections(PoolingHttpClientConnectionManagerBuilder.create(), name);
	}

	/**
	 * Creates the builder of a pool whose connections are checked without a wait. Its
	 * sockets use no SOCKS proxy. The connection configuration must come from
	 * {@link #configBuilder()}.
	 * @param name the beginning of the names of the connections in HttpClient's log
	 * @return the builder
	 */
	static PoolingHttpClientConnectionManagerBuilder channelManagerBuilder(String name) {
		return withStrictConnections(new ChannelSocketManagerBuilder(), name);
	}

	private static PoolingHttpClientConnectionManagerBuilder withStrictConnections(
			PoolingHttpClientConnectionManagerBuilder builder, String name) {
		AtomicLong connectionsCreated = new AtomicLong();
		return builder.setConnectionFactory(
				(socket) -> new StrictHttpConnection(name + "-" + connectionsCreated.incrementAndGet()));
	}

	/**
	 * Creates the builder of a configuration that checks every pooled connection before
	 * each use. Otherwise a request could be sent on a connection that the server has
	 * already closed, and its outcome would be unknown, or bytes behind an earlier
	 * response would be taken for the next one.
	 * @return the builder
	 */
	public static ConnectionConfig.Builder configBuilder() {
		return ConnectionConfig.custom().setValidateAfterInactivity(TimeValue.ZERO_MILLISECONDS);
	}

	/**
	 * Creates sockets that have a {@link SocketChannel}, from which
	 * {@link StrictSocketHolder} reads without blocking.
	 */
	private static final class ChannelSocketManagerBuilder extends PoolingHttpClientConnectionManagerBuilder {

		@Override
		protected HttpClientConnectionOperator createConnectionOperator(SchemePortResolver ports, DnsResolver names,
				@Nullable TlsSocketStrategy tls) {
			return new DefaultHttpClientConnectionOperator((proxy) -> SocketChannel.open().socket(), ports, names,
					RegistryBuilder.<TlsSocketStrategy>create()
						.register("https", (tls != null) ? tls : DefaultClientTlsStrategy.createSystemDefault())
						.build());
		}

	}

}
