package org.plantainspur.host;

import java.util.List;

import com.codahale.metrics.MetricRegistry;
import io.dropwizard.configuration.ConfigurationFactory;
import io.dropwizard.configuration.ConfigurationSourceProvider;
import io.dropwizard.core.Configuration;
import io.dropwizard.core.server.DefaultServerFactory;
import io.dropwizard.jetty.GzipHandlerFactory;
import io.dropwizard.jetty.HttpConnectorFactory;
import io.dropwizard.logging.common.LoggingFactory;
import io.dropwizard.request.logging.RequestLogFactory;
import io.dropwizard.util.DataSize;
import io.dropwizard.util.Duration;
import org.eclipse.jetty.server.RequestLog;

/**
 * Builds Dropwizard's configuration object from the settings of the host.
 */
final class ServerSettings implements ConfigurationFactory<Configuration> {

	/**
	 * Threads beyond those that serve callers: acceptors, selectors and the admin port.
	 */
	private static final int SERVER_THREADS = 24;

	private final HostSettings settings;

	ServerSettings(HostSettings settings) {
		this.settings = settings;
	}

	@Override
	public Configuration build(ConfigurationSourceProvider provider, String path) {
		return build();
	}

	@Override
	public Configuration build() {
		DefaultServerFactory server = new DefaultServerFactory();
		server.setApplicationConnectors(List.of(callers()));
		server.setAdminConnectors(List.of(connector(this.settings.adminAddress())));
		server.setMaxThreads(this.settings.callerThreads() + SERVER_THREADS);
		// Threads that exist already save their creation when load rises.
		server.setMinThreads(Math.min(64, this.settings.callerThreads()) + SERVER_THREADS);
		server.setRequestLogFactory(new NoRequestLog());
		server.setRegisterDefaultExceptionMappers(false);
		// Renaming the thread for each request costs a system call and shows paths in
		// dumps.
		server.setEnableThreadNameFilter(false);
		server.setGzipFilterFactory(noCompression());
		Configuration configuration = new Configuration();
		configuration.setServerFactory(server);
		configuration.setLoggingFactory(new NoLogging());
		return configuration;
	}

	private HttpConnectorFactory callers() {
		HttpConnectorFactory connector = connector(this.settings.callerAddress());
		connector.setMaxRequestHeaderSize(DataSize.bytes(this.settings.headerBytes()));
		connector.setIdleTimeout(Duration.milliseconds(this.settings.callerIdleTimeoutMillis()));
		connector.setMinResponseDataPerSecond(DataSize.bytes(this.settings.callerDataRate()));
		connector.setUseServerHeader(false);
		return connector;
	}

	// An answer passes through as the target gave it.
	private static GzipHandlerFactory noCompression() {
		GzipHandlerFactory gzip = new GzipHandlerFactory();
		gzip.setEnabled(false);
		return gzip;
	}

	private static HttpConnectorFactory connector(String address) {
		int colon = address.lastIndexOf(':');
		HttpConnectorFactory connector = new HttpConnectorFactory();
		connector.setBindHost(address.substring(0, colon));
		connector.setPort(Integer.parseInt(address.substring(colon + 1)));
		return connector;
	}

	/**
	 * Leaves the set-up of logging to Log4j 2.
	 */
	private static final class NoLogging implements LoggingFactory {

		@Override
		public void configure(MetricRegistry metrics, String name) {
		}

		@Override
		public void stop() {
		}

		@Override
		public void reset() {
		}

	}

	/**
	 * Turns Dropwizard's request log off.
	 */
	private static final class NoRequestLog implements RequestLogFactory<RequestLog> {

		@Override
		public boolean isEnabled() {
			return false;
		}

		@Override
		public RequestLog build(String name) {
			return (request, response) -> {
			};
		}

	}

}
