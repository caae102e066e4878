package org.plantainspur.standins.load;

import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * Request counts and latencies of a group of requests, such as those of one client
 * account and request class. Thread-safe.
 */
final class RequestStatistics {

	/**
	 * The highest latency of the histogram (1 hour); longer ones are recorded as this.
	 */
	private static final long MAXIMUM_LATENCY_MICROS = 3_600_000_000L;

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final double MICROS_PER_MILLI = 1000;

	private static final long NANOS_PER_MICRO = 1000;

	private final Histogram latencies = new Histogram(MAXIMUM_LATENCY_MICROS, SIGNIFICANT_DIGITS);

	private final Map<String, Long> answered = new TreeMap<>();

	private final Map<String, Long> refused = new TreeMap<>();

	private final Map<String, Long> errors = new TreeMap<>();

	private long sent;

	private long resent;

	synchronized void recordSent() {
		this.sent++;
	}

	synchronized void recordResent() {
		this.resent++;
	}

	synchronized void recordError(String kind) {
		this.errors.merge(kind, 1L, Long::sum);
	}

	/**
	 * Records the final outcome of a request.
	 * @param outcome the outcome of the last attempt
	 * @param latencyNanos the time since the intended time of sending, in nanoseconds
	 */
	synchronized void recordOutcome(Outcome outcome, long latencyNanos) {
		if (outcome instanceof Outcome.Answered answer) {
			this.answered.merge(String.valueOf(answer.status()), 1L, Long::sum);
			this.latencies.recordValue(Math.min(MAXIMUM_LATENCY_MICROS, latencyNanos / NANOS_PER_MICRO));
		}
		else if (outcome instanceof Outcome.Refused refusal) {
			this.refused.merge(refusal.code() + "/" + refusal.run(), 1L, Long::sum);
		}
		else if (outcome instanceof Outcome.Failed failure) {
			recordError(failure.kind());
		}
	}

	synchronized void addTo(RequestStatistics total) {
		total.sent += this.sent;
		total.resent += this.resent;
		this.answered.forEach((status, count) -> total.answered.merge(status, count, Long::sum));
		this.refused.forEach((code, count) -> total.refused.merge(code, count, Long::sum));
		this.errors.forEach((kind, count) -> total.errors.merge(kind, count, Long::sum));
		total.latencies.add(this.latencies);
	}

	synchronized LoadReport.Row toRow(String account, String requestClass) {
		return new LoadReport.Row(account, requestClass, this.sent, this.resent, sum(this.answered),
				Map.copyOf(this.answered), Map.copyOf(this.refused), Map.copyOf(this.errors), latency());
	}

	private LoadReport.Latency latency() {
		return new LoadReport.Latency(millis(this.latencies.getValueAtPercentile(50)),
				millis(this.latencies.getValueAtPercentile(99)), millis(this.latencies.getValueAtPercentile(99.9)),
				millis(this.latencies.getMaxValue()));
	}

	private static double millis(long micros) {
		return micros / MICROS_PER_MILLI;
	}

	private static long sum(Map<String, Long> counts) {
		return counts.values().stream().mapToLong(Long::longValue).sum();
	}

}
