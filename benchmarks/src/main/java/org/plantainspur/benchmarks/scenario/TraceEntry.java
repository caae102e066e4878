package org.plantainspur.benchmarks.scenario;

import org.plantainspur.core.health.OutcomeRecorder;

/**
 * One line of a trace: an outcome as a host recorded it. For example
 * {@code 30125 h4 t7 a0 FAILURE 12 -}.
 *
 * @param millis when the outcome was known
 * @param host the host's number
 * @param target the target's number
 * @param account the account
 * @param kind the outcome
 * @param latency the latency in milliseconds
 * @param fingerprint the request's identity, {@code -} if no other request has it, or
 * {@code leaving} if the answer said that the target is leaving
 */
public record TraceEntry(long millis, int host, int target, String account, OutcomeRecorder.Kind kind, long latency,
		String fingerprint) {

	/**
	 * Reads a line.
	 * @param line the line
	 * @return the entry
	 */
	public static TraceEntry parse(String line) {
		String[] words = line.split(" ");
		return new TraceEntry(Long.parseLong(words[0]), Integer.parseInt(words[1].substring(1)),
				Integer.parseInt(words[2].substring(1)), words[3], OutcomeRecorder.Kind.valueOf(words[4]),
				Long.parseLong(words[5]), words[6]);
	}

	/**
	 * Writes the line.
	 * @return the line without its end
	 */
	public String line() {
		return this.millis + " h" + this.host + " t" + this.target + " " + this.account + " " + this.kind + " "
				+ this.latency + " " + this.fingerprint;
	}

}
