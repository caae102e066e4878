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
 * The metrics of a host, in a Prometheus registry. Each part of the request path is
 * measured by a decorator, for example {@code metrics.measure(pipeline, view)}.
 */
public final class HostMetrics {

	/**
	 * Maximum number of client accounts, of routes and of problem codes with time series
	 * of their own.
	 */
	static final int MAXIMUM_SERIES = 200;

	private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

	private final List<CrossRegionByteCounters> crossRegionCounters = new CopyOnWriteArrayList<>();

	/**
	 * Measures the latency of requests by client account and by route, and counts
	 * refusals by problem code.
	 * @param pipeline the pipeline to measure
	 * @param view the configuration in force
	 * @return a pipeline that passes requests to {@code pipeline} and measures them
	 */
	public RequestPipeline measure(RequestPipeline pipeline, ConfigurationView view) {
		return new MeasuredPipeline(pipeline, view, this.registry);
	}

	/**
	 * Counts dispatch outcomes by service.
	 * @param dispatcher the dispatcher to measure
	 * @return a dispatcher that passes requests to {@code dispatcher} and counts outcomes
	 */
	public TargetDispatcher measure(TargetDispatcher dispatcher) {
		return new MeasuredDispatcher(dispatcher, this.registry);
	}

	/**
	 * Counts retries.
	 * @param policy the policy to measure
	 * @return a policy that decides as {@code policy} and counts the retries allowed
	 */
	public RetryPolicy measure(RetryPolicy policy) {
		Counter retries = Counter.builder("plantainspur.retries").register(this.registry);
		return new MeasuredRetryPolicy(policy, retries);
	}

	/**
	 * Measures how long requests wait for admission.
	 * @param queue the queue to measure
	 * @return a queue that admits as {@code queue} and records the time of each wait
	 */
	public AdmissionQueue measure(AdmissionQueue queue) {
		Timer waitTimer = new BoundedTimers(this.registry, "plantainspur.queue.wait", "scope", 1).of("host");
		return (service, account, deadlineMillis) -> {
			long startNanos = System.nanoTime();
			try {
				return queue.admit(service, account, deadlineMillis);
			}
			finally {
				waitTimer.record(System.nanoTime() - startNanos, java.util.concurrent.TimeUnit.NANOSECONDS);
			}
		};
	}

	/**
	 * Registers gauges for the state of the host.
	 * @param current returns whether the configuration is current
	 * @param sequence returns the sequence number of the configuration in force
	 * @param inFlight returns the number of requests in flight
	 */
	public void registerStateGauges(BooleanSupplier current, LongSupplier sequence, LongSupplier inFlight) {
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
	 * Registers counters for the bytes sent between regions by route class.
	 * @param traffic counts the bytes since the start of the process
	 */
	public void registerCrossRegionBytes(CrossRegionTraffic traffic) {
		this.crossRegionCounters.add(new CrossRegionByteCounters(this.registry, traffic));
	}

	/**
	 * Returns all metrics in the text format of Prometheus.
	 * @return the body of a response to a Prometheus scrape
	 */
	public String scrape() {
		this.crossRegionCounters.forEach(CrossRegionByteCounters::registerNewClasses);
		return this.registry.scrape();
	}

}
