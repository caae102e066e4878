package org.plantainspur.host;

import java.util.List;

import com.codahale.metrics.MetricRegistry;
import com.google.inject.Guice;
import com.google.inject.Injector;
import io.dropwizard.configuration.ConfigurationFactory;
import io.dropwizard.configuration.ConfigurationSourceProvider;
import io.dropwizard.core.Application;
import io.dropwizard.core.Configuration;
import io.dropwizard.core.server.DefaultServerFactory;
import io.dropwizard.core.setup.Bootstrap;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.jetty.ConnectorFactory;
import io.dropwizard.jetty.HttpConnectorFactory;
import io.dropwizard.logging.common.LoggingFactory;
import io.dropwizard.request.logging.RequestLogFactory;
import org.eclipse.jetty.server.RequestLog;

import org.plantainspur.adapters.http.CallerResource;
import org.plantainspur.adapters.http.LocateResource;

/**
 * The Dropwizard application of an entry host. Its configuration object is built from
 * {@link HostSettings}, since settings come from flags and environment variables; logging
 * is left to Log4j 2.
 */
public final class EntryHostApplication extends Application<Configuration> {

	private final HostSettings settings;

	/**
	 * Creates the application.
	 * @param settings the settings
	 */
	public EntryHostApplication(HostSettings settings) {
		this.settings = settings;
	}

	@Override
	protected void bootstrapLogging() {
	}

	@Override
	public void initialize(Bootstrap<Configuration> bootstrap) {
		bootstrap.setConfigurationFactoryFactory((type, validator, mapper, prefix) -> new FixedConfigurationFactory());
	}

	@Override
	public void run(Configuration configuration, Environment environment) {
		Injector injector = Guice.createInjector(new HostModule(this.settings));
		environment.jersey().register(injector.getInstance(LocateResource.class));
		environment.jersey().register(injector.getInstance(CallerResource.class));
		environment.lifecycle().manage(injector.getInstance(BackgroundTasks.class));
		environment.lifecycle()
			.addServerLifecycleListener((server) -> System.out
				.println("plantainspur-host " + this.settings.hostId() + " listens on " + this.settings.callerAddress()
						+ " for callers, " + this.settings.adminAddress() + " for operators"));
	}

	private Configuration configuration() {
		DefaultServerFactory server = new DefaultServerFactory();
		server.setApplicationConnectors(List.of(connector(this.settings.callerAddress())));
		server.setAdminConnectors(List.of(connector(this.settings.adminAddress())));
		server.setRequestLogFactory(new NoRequestLog());
		server.setRegisterDefaultExceptionMappers(true);
		Configuration configuration = new Configuration();
		configuration.setServerFactory(server);
		configuration.setLoggingFactory(new NoLogging());
		return configuration;
	}

	private static ConnectorFactory connector(String address) {
		int colon = address.lastIndexOf(':');
		HttpConnectorFactory connector = new HttpConnectorFactory();
		connector.setBindHost(address.substring(0, colon));
		connector.setPort(Integer.parseInt(address.substring(colon + 1)));
		return connector;
	}

	private final class FixedConfigurationFactory implements ConfigurationFactory<Configuration> {

		@Override
		public Configuration build(ConfigurationSourceProvider provider, String path) {
			return configuration();
		}

		@Override
		public Configuration build() {
			return configuration();
		}

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
