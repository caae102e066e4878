package org.plantainspur.standins.load;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * The report of a load run. Latencies are those of answered requests, in milliseconds
 * from the intended time of sending.
 *
 * @param rate the intended number of requests per second
 * @param seconds how long requests were sent after the warm-up, in seconds
 * @param largestSendLagMillis the largest delay between the intended and the actual time
 * of sending; if it is large, the latencies are partly caused by the load tool itself
 * @param locates how often the tool asked entry hosts which hosts to use
 * @param failedLocates how often such a locate request had no usable answer
 * @param total the sums over all accounts and request classes
 * @param rows one row for each account and request class
 */
record LoadReport(double rate, double seconds, double largestSendLagMillis, long locates, long failedLocates, Row total,
		List<Row> rows) {

	private static final int CLASS_WIDTH = 15;

	String text() {
		StringBuilder text = new StringBuilder();
		int width = Math.max(10, this.rows.stream().mapToInt((row) -> row.account().length()).max().orElse(0));
		text.append(
				String.format(Locale.ROOT, "intended %.1f requests/s for %.1f s; the tool sent at most %.1f ms late; ",
						this.rate, this.seconds, this.largestSendLagMillis));
		text.append(
				String.format(Locale.ROOT, "located %d times, %d without answer%n", this.locates, this.failedLocates));
		text.append(String.format(Locale.ROOT,
				"%-" + width + "s %-" + CLASS_WIDTH + "s %8s %8s %8s %8s %8s %9s %9s %9s %9s%n", "account", "class",
				"sent", "answered", "refused", "errors", "resent", "p50 ms", "p99 ms", "p99.9 ms", "max ms"));
		this.rows.forEach((row) -> row.appendTo(text, width));
		this.total.appendTo(text, width);
		appendCounts(text, "answered by status", this.total.answeredByStatus());
		appendCounts(text, "refused by code and run", this.total.refused());
		appendCounts(text, "errors", this.total.errors());
		return text.toString();
	}

	private static void appendCounts(StringBuilder text, String title, Map<String, Long> counts) {
		text.append(title).append(": ").append(counts.isEmpty() ? "none" : new TreeMap<>(counts)).append('\n');
	}

	/**
	 * The results of one account and request class.
	 *
	 * @param account the name of the client account
	 * @param requestClass {@code idempotent} or {@code non-idempotent}
	 * @param sent requests sent, each counted once
	 * @param resent how often a request was sent again
	 * @param answered complete responses of targets
	 * @param answeredByStatus complete responses by HTTP status code
	 * @param refused refusals by problem code and {@code run}, such as
	 * {@code rate-limited/not-run}
	 * @param errors requests without a response, also those that were not sent, by kind
	 * of failure
	 * @param latencyMillis the latencies of the answered requests
	 */
	record Row(String account, String requestClass, long sent, long resent, long answered,
			Map<String, Long> answeredByStatus, Map<String, Long> refused, Map<String, Long> errors,
			Latency latencyMillis) {

		private void appendTo(StringBuilder text, int width) {
			text.append(String.format(Locale.ROOT,
					"%-" + width + "s %-" + CLASS_WIDTH + "s %8d %8d %8d %8d %8d %9.2f %9.2f %9.2f %9.2f%n",
					this.account, this.requestClass, this.sent, this.answered, sum(this.refused), sum(this.errors),
					this.resent, this.latencyMillis.p50(), this.latencyMillis.p99(), this.latencyMillis.p999(),
					this.latencyMillis.max()));
		}

		private static long sum(Map<String, Long> counts) {
			return counts.values().stream().mapToLong(Long::longValue).sum();
		}

	}

	/**
	 * Percentiles of the latency, in milliseconds.
	 *
	 * @param p50 the median
	 * @param p99 the 99th percentile
	 * @param p999 the 99.9th percentile
	 * @param max the longest latency
	 */
	record Latency(double p50, double p99, double p999, double max) {
	}

}
