package org.plantainspur.standins.load;

import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * Counts of one account and class.
 */
final class Tally {

	private static final long HIGHEST_MICROS = 3_600_000_000L;

	private static final int DIGITS = 3;

	private static final double MICROS_PER_MILLI = 1000;

	private static final long NANOS_PER_MICRO = 1000;

	private final Histogram latencies = new Histogram(HIGHEST_MICROS, DIGITS);

	private final Map<String, Long> answered = new TreeMap<>();

	private final Map<String, Long> refused = new TreeMap<>();

	private final Map<String, Long> errors = new TreeMap<>();

	private long sent;

	private long resent;

	synchronized void sent() {
		this.sent++;
	}

	synchronized void resent() {
		this.resent++;
	}

	synchronized void error(String kind) {
		this.errors.merge(kind, 1L, Long::sum);
	}

	/**
	 * Records the last outcome of a request.
	 * @param outcome the outcome
	 * @param nanos the time since the intended time of sending
	 */
	synchronized void end(Outcome outcome, long nanos) {
		if (outcome instanceof Outcome.Answered answer) {
			this.answered.merge(String.valueOf(answer.status()), 1L, Long::sum);
			this.latencies.recordValue(Math.min(HIGHEST_MICROS, nanos / NANOS_PER_MICRO));
		}
		else if (outcome instanceof Outcome.Refused refusal) {
			this.refused.merge(refusal.code() + "/" + refusal.run(), 1L, Long::sum);
		}
		else if (outcome instanceof Outcome.Failed failure) {
			error(failure.kind());
		}
	}

	synchronized void addTo(Tally total) {
		total.sent += this.sent;
		total.resent += this.resent;
		this.answered.forEach((status, count) -> total.answered.merge(status, count, Long::sum));
		this.refused.forEach((code, count) -> total.refused.merge(code, count, Long::sum));
		this.errors.forEach((kind, count) -> total.errors.merge(kind, count, Long::sum));
		total.latencies.add(this.latencies);
	}

	synchronized LoadReport.Row row(String account, String requestClass) {
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
