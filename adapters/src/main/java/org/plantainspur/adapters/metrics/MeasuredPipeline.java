package org.plantainspur.adapters.metrics;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import io.micrometer.core.instrument.MeterRegistry;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.configuration.Route;
import org.plantainspur.core.request.CallerAnswer;
import org.plantainspur.core.request.CallerRequest;
import org.plantainspur.core.request.RequestPipeline;
import org.plantainspur.core.routing.RouteTable;

/**
 * Measures requests by client account and by route, and counts refusals by code.
 */
final class MeasuredPipeline implements RequestPipeline {

	/**
	 * The account of requests without a valid key, and the route of those without one.
	 */
	private static final String NONE = "none";

	private final RequestPipeline pipeline;

	private final ConfigurationView view;

	private final BoundedTimers byAccount;

	private final BoundedTimers byRoute;

	private final BoundedCounters refusals;

	private final AtomicReference<Routes> routes = new AtomicReference<>(Routes.of(Configuration.empty()));

	MeasuredPipeline(RequestPipeline pipeline, ConfigurationView view, MeterRegistry registry) {
		this.pipeline = pipeline;
		this.view = view;
		this.byAccount = new BoundedTimers(registry, "plantainspur.requests.by.account", "account",
				HostMetrics.MAXIMUM_SERIES);
		this.byRoute = new BoundedTimers(registry, "plantainspur.requests.by.route", "route",
				HostMetrics.MAXIMUM_SERIES);
		this.refusals = new BoundedCounters(registry, "plantainspur.refusals", "code", "run",
				HostMetrics.MAXIMUM_SERIES);
	}

	@Override
	public CallerAnswer serve(CallerRequest request) {
		long started = System.nanoTime();
		CallerAnswer answer = this.pipeline.serve(request);
		long nanos = System.nanoTime() - started;
		this.byAccount.of(account(request)).record(nanos, TimeUnit.NANOSECONDS);
		this.byRoute.of(route(request)).record(nanos, TimeUnit.NANOSECONDS);
		if (answer instanceof CallerAnswer.Refused refused) {
			this.refusals.of(refused.problem().code().label(), refused.problem().run().label()).increment();
		}
		return answer;
	}

	private String account(CallerRequest request) {
		ClientAccount account = this.view.current().accountOfKey(request.keyHash());
		return (account != null) ? account.id() : NONE;
	}

	private String route(CallerRequest request) {
		Configuration configuration = this.view.current();
		Routes compiled = this.routes.get();
		if (compiled.configuration() != configuration) {
			compiled = Routes.of(configuration);
			this.routes.set(compiled);
		}
		Route route = compiled.table().match(request.method(), request.path());
		return (route != null) ? route.id() : NONE;
	}

	/**
	 * The routes of one configuration.
	 */
	private record Routes(Configuration configuration, RouteTable table) {

		static Routes of(Configuration configuration) {
			return new Routes(configuration, RouteTable.of(configuration));
		}

	}

}
