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
 * Pipeline decorator that measures the latency of requests by client account and by
 * route, and counts refusals by problem code.
 */
final class MeasuredPipeline implements RequestPipeline {

	/**
	 * Tag value for the account of requests without a valid key, and for the route of
	 * requests that match no route.
	 */
	private static final String NONE = "none";

	private final RequestPipeline pipeline;

	private final ConfigurationView view;

	private final BoundedTimers byAccount;

	private final BoundedTimers byRoute;

	private final BoundedCounters refusals;

	private final AtomicReference<CompiledRoutes> compiledRoutes = new AtomicReference<>(
			CompiledRoutes.of(Configuration.empty()));

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
		long startNanos = System.nanoTime();
		CallerAnswer answer = this.pipeline.serve(request);
		long elapsedNanos = System.nanoTime() - startNanos;
		this.byAccount.of(accountTag(request)).record(elapsedNanos, TimeUnit.NANOSECONDS);
		this.byRoute.of(routeTag(request)).record(elapsedNanos, TimeUnit.NANOSECONDS);
		if (answer instanceof CallerAnswer.Refused refused) {
			this.refusals.of(refused.problem().code().label(), refused.problem().run().label()).increment();
		}
		return answer;
	}

	private String accountTag(CallerRequest request) {
		ClientAccount account = this.view.current().accountOfKey(request.keyHash());
		return (account != null) ? account.id() : NONE;
	}

	private String routeTag(CallerRequest request) {
		Configuration configuration = this.view.current();
		CompiledRoutes compiled = this.compiledRoutes.get();
		if (compiled.configuration() != configuration) {
			compiled = CompiledRoutes.of(configuration);
			this.compiledRoutes.set(compiled);
		}
		Route route = compiled.table().match(request.method(), request.path());
		return (route != null) ? route.id() : NONE;
	}

	/**
	 * The route table compiled from one configuration.
	 */
	private record CompiledRoutes(Configuration configuration, RouteTable table) {

		static CompiledRoutes of(Configuration configuration) {
			return new CompiledRoutes(configuration, RouteTable.of(configuration));
		}

	}

}
