package org.plantainspur.gateway.log;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.LongAdder;

import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;

/**
 * Counters, and latency histograms by client account, written out in the Prometheus text
 * format. Written here to keep the libraries few that a small host loads at its start;
 * Micrometer's part in the start was not measured.
 */
public final class GatewayMetrics {

	/** Accounts beyond these share one histogram. */
	static final int MAX_ACCOUNTS = 100;

	private static final long LONGEST_MS = 120_000;

	private static final int DIGITS = 2;

	private static final double[] QUANTILES = { 0.5, 0.99, 0.999 };

	private final ConcurrentMap<String, LongAdder> counters = new ConcurrentHashMap<>();

	private final ConcurrentMap<String, Recorder> latencies = new ConcurrentHashMap<>();

	private final Map<String, Histogram> totals = new TreeMap<>();

	/**
	 * Adds one to a counter.
	 * @param name the counter's name
	 * @param label what its only label {@code kind} says
	 */
	public void count(String name, String label) {
		this.counters.computeIfAbsent(name + "{kind=\"" + label + "\"}", (key) -> new LongAdder()).increment();
	}

	/**
	 * Records how long a request took.
	 * @param account its client account
	 * @param tookMs the time in milliseconds
	 */
	public void took(String account, long tookMs) {
		String key = (this.latencies.containsKey(account) || this.latencies.size() < MAX_ACCOUNTS) ? account : "other";
		this.latencies.computeIfAbsent(key, (name) -> new Recorder(LONGEST_MS, DIGITS))
			.recordValue(Math.max(0, Math.min(LONGEST_MS, tookMs)));
	}

	/**
	 * Writes everything out.
	 * @return the text
	 */
	public synchronized String text() {
		StringBuilder text = new StringBuilder();
		new TreeMap<>(this.counters).forEach((name,
				count) -> text.append("plantainspur_").append(name).append(' ').append(count.sum()).append('\n'));
		this.latencies.forEach(
				(account, recorder) -> this.totals.computeIfAbsent(account, (name) -> new Histogram(LONGEST_MS, DIGITS))
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
