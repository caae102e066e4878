package org.plantainspur.benchmarks.scenario;

import org.plantainspur.core.health.OutcomeRecorder;

/**
 * One line of a trace: the outcome of a request as a host recorded it. For example {@code
 * 30125 h4 t7 a0 FAILURE 12 -}.
 *
 * @param millis when the request began or, if it timed out, when it ended, in
 * milliseconds since the start of the scenario
 * @param host the number of the host
 * @param target the number of the target
 * @param account the id of the account
 * @param kind the kind of outcome
 * @param latency the latency in milliseconds
 * @param fingerprint the request's fingerprint, {@code -} if no other request has it, or
 * {@code leaving} if the response said that the target is leaving
 */
public record TraceEntry(long millis, int host, int target, String account, OutcomeRecorder.Kind kind, long latency,
		String fingerprint) {

	/**
	 * Parses a line of a trace file.
	 * @param line the line without its end
	 * @return the parsed entry
	 */
	public static TraceEntry parse(String line) {
		String[] fields = line.split(" ");
		return new TraceEntry(Long.parseLong(fields[0]), Integer.parseInt(fields[1].substring(1)),
				Integer.parseInt(fields[2].substring(1)), fields[3], OutcomeRecorder.Kind.valueOf(fields[4]),
				Long.parseLong(fields[5]), fields[6]);
	}

	/**
	 * Formats the entry as a line of a trace file.
	 * @return the line without its end
	 */
	public String line() {
		return this.millis + " h" + this.host + " t" + this.target + " " + this.account + " " + this.kind + " "
				+ this.latency + " " + this.fingerprint;
	}

}
