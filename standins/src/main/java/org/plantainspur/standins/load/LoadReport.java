package org.plantainspur.standins.load;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * The result of a run. Latencies are those of answers, in milliseconds from the intended
 * time of sending.
 *
 * @param rate the intended requests per second
 * @param seconds how long the tool sent
 * @param largestSendLagMillis how late the tool itself was at most; a large value means
 * that the latencies are partly the tool's own
 * @param locates how often it asked which hosts to use
 * @param failedLocates how many of these had no usable answer
 * @param total all accounts and classes
 * @param rows each account and class
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
	 * The result of one account and class.
	 *
	 * @param account the account
	 * @param requestClass {@code idempotent} or {@code non-idempotent}
	 * @param sent requests sent, without those sent again
	 * @param resent requests sent again with the same key
	 * @param answered whole answers of targets
	 * @param answeredByStatus whole answers by status
	 * @param refused refusals by problem code and {@code run}, such as
	 * {@code rate-limited/not-run}
	 * @param errors requests without an answer by kind of failure
	 * @param latencyMillis latencies of the answers
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
	 * Latencies in milliseconds.
	 *
	 * @param p50 the median
	 * @param p99 the time that 99 in 100 stay below
	 * @param p999 the time that 999 in 1000 stay below
	 * @param max the longest
	 */
	record Latency(double p50, double p99, double p999, double max) {
	}

}
