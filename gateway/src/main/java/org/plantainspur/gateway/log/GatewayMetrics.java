package org.plantainspur.gateway.log;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.LongSupplier;

import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/**
 * Counters, and latency histograms by client account, in the Prometheus text format. No
 * metrics library is used, since each library that a small host loads delays its start.
 */
public final class GatewayMetrics {

	/** Accounts beyond this number share one histogram. */
	static final int MAX_ACCOUNTS = 100;

	/** The upper bound of the histograms; longer latencies are recorded as this one. */
	private static final long MAX_LATENCY_MS = 120_000;

	private static final int SIGNIFICANT_DIGITS = 2;

	private static final double[] QUANTILES = { 0.5, 0.99, 0.999 };

	private final ConcurrentMap<String, LongAdder> counters = new ConcurrentHashMap<>();

	private final ConcurrentMap<String, LongSupplier> gauges = new ConcurrentHashMap<>();

	private final ConcurrentMap<String, Recorder> latencies = new ConcurrentHashMap<>();

	private final Map<String, Histogram> totals = new TreeMap<>();

	/**
	 * Adds one to a counter.
	 * @param name the counter's name without the prefix {@code plantainspur_}
	 * @param label the value of the counter's only label {@code kind}
	 */
	public void count(String name, String label) {
		this.counters.computeIfAbsent(name + "{kind=\"" + label + "\"}", (key) -> new LongAdder()).increment();
	}

	/**
	 * Adds a gauge.
	 * @param name the gauge's name without the prefix {@code plantainspur_}
	 * @param value returns its value, on the thread that reads the metrics
	 */
	public void gauge(String name, LongSupplier value) {
		this.gauges.put(name, value);
	}

	/**
	 * Records the latency of a request.
	 * @param account the name of the request's client account, empty if it has none
	 * @param tookMs the time from the request's arrival to its response, in milliseconds
	 */
	public void recordLatency(String account, long tookMs) {
		String histogramName = (this.latencies.containsKey(account) || this.latencies.size() < MAX_ACCOUNTS) ? account
				: "other";
		this.latencies.computeIfAbsent(histogramName, (name) -> new Recorder(MAX_LATENCY_MS, SIGNIFICANT_DIGITS))
			.recordValue(Math.max(0, Math.min(MAX_LATENCY_MS, tookMs)));
	}

	/**
	 * Returns all metrics.
	 * @return a text in the Prometheus exposition format
	 */
	public synchronized String text() {
		StringBuilder text = new StringBuilder();
		new TreeMap<>(this.counters).forEach((name,
				count) -> text.append("plantainspur_").append(name).append(' ').append(count.sum()).append('\n'));
		new TreeMap<>(this.gauges).forEach((name,
				value) -> text.append("plantainspur_").append(name).append(' ').append(value.getAsLong()).append('\n'));
		this.latencies.forEach((account, recorder) -> this.totals
			.computeIfAbsent(account, (name) -> new Histogram(MAX_LATENCY_MS, SIGNIFICANT_DIGITS))
			.add(recorder.getIntervalHistogram()));
		this.totals.forEach((account, histogram) -> {
			String labels = "plantainspur_request_ms{account=\"" + account + "\",quantile=\"";
			for (double quantile : QUANTILES) {
				text.append(labels).append(quantile).append("\"} ");
				text.append(histogram.getValueAtPercentile(quantile * 100)).append('\n');
			}
			text.append("plantainspur_request_ms_count{account=\"").append(account).append("\"} ");
			text.append(histogram.getTotalCount()).append('\n');
		});
		return text.toString();
	}

}
