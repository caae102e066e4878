package org.plantainspur.adapters.metrics;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.request.RequestPipeline;
import org.plantainspur.core.request.RetryPolicy;
import org.plantainspur.core.request.TargetDispatcher;
import org.plantainspur.core.routing.AdmissionQueue;
import org.plantainspur.core.routing.CrossRegionTraffic;

/**
 * The metrics of a host. Each part of the request path is measured by a decorator, for
 * example {@code metrics.measure(pipeline, view)}.
 */
public final class HostMetrics {

	/** The most client accounts, and the most routes, with a series of their own. */
	static final int MAXIMUM_SERIES = 200;

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final List<CrossRegionBytes> crossRegion = new CopyOnWriteArrayList<>();

	/**
	 * Measures the time of each request by client account and by route, and counts
	 * refusals by code.
	 * @param pipeline the pipeline
	 * @param view the configuration in force
	 * @return the pipeline, measured
	 */
	public RequestPipeline measure(RequestPipeline pipeline, ConfigurationView view) {
		return new MeasuredPipeline(pipeline, view, this.registry);
	}

	/**
	 * Counts dispatch outcomes by service.
	 * @param dispatcher the dispatcher
	 * @return the dispatcher, measured
	 */
	public TargetDispatcher measure(TargetDispatcher dispatcher) {
		return new MeasuredDispatcher(dispatcher, this.registry);
	}

	/**
	 * Counts retries.
	 * @param policy the policy
	 * @return the policy, measured
	 */
	public RetryPolicy measure(RetryPolicy policy) {
		Counter retries = Counter.builder("plantainspur.retries").register(this.registry);
		return new MeasuredRetryPolicy(policy, retries);
	}

	/**
	 * Measures how long requests wait for admission.
	 * @param queue the queue
	 * @return the queue, measured
	 */
	public AdmissionQueue measure(AdmissionQueue queue) {
		Timer waits = new BoundedTimers(this.registry, "plantainspur.queue.wait", "scope", 1).of("host");
		return (service, account, deadlineMillis) -> {
			long started = System.nanoTime();
			try {
				return queue.admit(service, account, deadlineMillis);
			}
			finally {
				waits.record(System.nanoTime() - started, java.util.concurrent.TimeUnit.NANOSECONDS);
			}
		};
	}

	/**
	 * Shows the state of the host.
	 * @param current whether the configuration is current
	 * @param sequence the sequence number in force
	 * @param inFlight the requests in flight
	 */
	public void watch(BooleanSupplier current, LongSupplier sequence, LongSupplier inFlight) {
		Gauge.builder("plantainspur.configuration.current", current, (state) -> state.getAsBoolean() ? 1 : 0)
			.strongReference(true)
			.register(this.registry);
		Gauge.builder("plantainspur.configuration.sequence", sequence, LongSupplier::getAsLong)
			.strongReference(true)
			.register(this.registry);
		Gauge.builder("plantainspur.requests.in.flight", inFlight, LongSupplier::getAsLong)
			.strongReference(true)
			.register(this.registry);
	}

	/**
	 * Shows the bytes that cross between regions by route class.
	 * @param traffic the bytes so far
	 */
	public void watch(CrossRegionTraffic traffic) {
		this.crossRegion.add(new CrossRegionBytes(this.registry, traffic));
	}

	/**
	 * Returns all metrics in the text format of Prometheus.
	 * @return the text
	 */
	public String scrape() {
		this.crossRegion.forEach(CrossRegionBytes::registerNewClasses);
		return this.registry.scrape();
	}

}
