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
 * Builds Dropwizard's configuration object from {@link HostSettings}, without a file.
 */
final class DropwizardConfigurationFactory implements ConfigurationFactory<Configuration> {

	/**
	 * Threads of the server's pool that do not serve callers: those of acceptors,
	 * selectors and the admin port.
	 */
	private static final int NON_CALLER_THREADS = 24;

	private final HostSettings settings;

	DropwizardConfigurationFactory(HostSettings settings) {
		this.settings = settings;
	}

	@Override
	public Configuration build(ConfigurationSourceProvider provider, String path) {
		return build();
	}

	@Override
	public Configuration build() {
		DefaultServerFactory server = new DefaultServerFactory();
		server.setApplicationConnectors(List.of(callerConnector()));
		server.setAdminConnectors(List.of(connector(this.settings.adminAddress())));
		server.setMaxThreads(this.settings.callerThreads() + NON_CALLER_THREADS);
		// Keeps up to 64 caller threads alive, so that a rise in load does not wait
		// for the creation of threads.
		server.setMinThreads(Math.min(64, this.settings.callerThreads()) + NON_CALLER_THREADS);
		server.setRequestLogFactory(new DisabledRequestLogFactory());
		server.setRegisterDefaultExceptionMappers(false);
		// The filter renames the thread for each request, which costs a system call and
		// shows callers' paths in thread dumps.
		server.setEnableThreadNameFilter(false);
		server.setGzipFilterFactory(disabledGzip());
		Configuration configuration = new Configuration();
		configuration.setServerFactory(server);
		configuration.setLoggingFactory(new NoOpLoggingFactory());
		return configuration;
	}

	private HttpConnectorFactory callerConnector() {
		HttpConnectorFactory connector = connector(this.settings.callerAddress());
		connector.setMaxRequestHeaderSize(DataSize.bytes(this.settings.headerBytes()));
		connector.setIdleTimeout(Duration.milliseconds(this.settings.callerIdleTimeoutMillis()));
		connector.setMinResponseDataPerSecond(DataSize.bytes(this.settings.callerDataRate()));
		connector.setUseServerHeader(false);
		return connector;
	}

	// Answers are passed on as the target encoded them.
	private static GzipHandlerFactory disabledGzip() {
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
	 * Does nothing, since Log4j 2 configures the logging.
	 */
	private static final class NoOpLoggingFactory implements LoggingFactory {

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
	private static final class DisabledRequestLogFactory implements RequestLogFactory<RequestLog> {

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
