package org.plantainspur.host;

import com.codahale.metrics.health.HealthCheck;
import com.google.inject.Guice;
import com.google.inject.Injector;
import com.google.inject.Module;
import com.google.inject.util.Modules;
import io.dropwizard.core.Application;
import io.dropwizard.core.Configuration;
import io.dropwizard.core.setup.Bootstrap;
import io.dropwizard.core.setup.Environment;
import org.eclipse.jetty.server.Server;

import org.plantainspur.adapters.http.AccountLimitHandler;
import org.plantainspur.adapters.http.CallerResource;
import org.plantainspur.adapters.http.LocateResource;
import org.plantainspur.adapters.http.ProblemErrorHandler;
import org.plantainspur.adapters.http.ProblemExceptionMapper;
import org.plantainspur.adapters.metrics.HostMetrics;

/**
 * The Dropwizard application of an entry host. Its configuration object is built from
 * {@link HostSettings} instead of a file, since settings come from flags and environment
 * variables. Log4j 2 configures the logging.
 */
public final class EntryHostApplication extends Application<Configuration> {

	private final HostSettings settings;

	private final Module[] overrides;

	/**
	 * Creates the application.
	 * @param settings the validated settings of this host
	 * @param overrides modules whose bindings replace those of the host, such as a test's
	 * change log
	 */
	public EntryHostApplication(HostSettings settings, Module... overrides) {
		this.settings = settings;
		this.overrides = overrides.clone();
	}

	@Override
	protected void bootstrapLogging() {
	}

	@Override
	public void initialize(Bootstrap<Configuration> bootstrap) {
		bootstrap.setConfigurationFactoryFactory(
				(type, validator, mapper, prefix) -> new DropwizardConfigurationFactory(this.settings));
	}

	@Override
	public void run(Configuration configuration, Environment environment) {
		Injector injector = Guice.createInjector(Modules.override(new HostModule(this.settings)).with(this.overrides));
		registerCallerEndpoints(environment, injector);
		registerAdminEndpoints(environment, injector);
		environment.lifecycle().manage(injector.getInstance(PeerTransport.class));
		BackgroundTasks backgroundTasks = injector.getInstance(BackgroundTasks.class);
		environment.lifecycle().manage(backgroundTasks);
		environment.lifecycle().addServerLifecycleListener((server) -> {
			onServerStarted(server, injector);
			backgroundTasks.startMembership();
		});
	}

	private static void registerCallerEndpoints(Environment environment, Injector injector) {
		environment.jersey().register(injector.getInstance(LocateResource.class));
		environment.jersey().register(injector.getInstance(CallerResource.class));
		environment.jersey().register(new ProblemExceptionMapper());
		environment.getApplicationContext().setErrorHandler(new ProblemErrorHandler());
		environment.getApplicationContext().insertHandler(injector.getInstance(AccountLimitHandler.class));
	}

	private static void registerAdminEndpoints(Environment environment, Injector injector) {
		StatusReport report = injector.getInstance(StatusReport.class);
		environment.admin()
			.addServlet("status", new StatusServlet(report))
			.addMapping("/status", "/explain/target/*", "/explain/account/*");
		environment.admin()
			.addServlet("nudge", new NudgeServlet(injector.getInstance(ConfigurationPoller.class)))
			.addMapping("/nudge");
		environment.admin()
			.addServlet("prometheus", new MetricsServlet(injector.getInstance(HostMetrics.class)))
			.addMapping("/metrics");
		environment.healthChecks().register("configuration", new ConfigurationHealthCheck(report));
	}

	private void onServerStarted(Server server, Injector injector) {
		server.setErrorHandler(new ProblemErrorHandler());
		// Jetty's own shutdown hook would close connections before their requests end.
		server.setStopAtShutdown(false);
		injector.getInstance(ShutdownTrigger.class).register(server);
		System.out.println("plantainspur-host " + this.settings.hostId() + " listens on "
				+ this.settings.callerAddress() + " for callers, " + this.settings.adminAddress() + " for operators");
	}

	/**
	 * Healthy while the configuration is current, so that this host may serve routes that
	 * need a key.
	 */
	private static final class ConfigurationHealthCheck extends HealthCheck {

		private final StatusReport report;

		ConfigurationHealthCheck(StatusReport report) {
			this.report = report;
		}

		@Override
		protected Result check() {
			String reason = this.report.staleReason();
			return reason.isEmpty() ? Result.healthy() : Result.unhealthy(reason);
		}

	}

}
