package org.plantainspur.standins.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;

import org.jspecify.annotations.Nullable;

/**
 * What targets meant to answer and what callers received, by request id. Finds the
 * responses that break a promise to a caller.
 */
final class SoakRecord {

	private final Map<String, List<Sent>> sent = new ConcurrentHashMap<>();

	private final Map<String, Received> received = new ConcurrentHashMap<>();

	private final Map<String, AtomicInteger> counts = new ConcurrentSkipListMap<>();

	private final ConcurrentLinkedQueue<String> problems = new ConcurrentLinkedQueue<>();

	void addSent(String id, Sent response) {
		this.sent.compute(id, (key, earlier) -> {
			List<Sent> all = (earlier != null) ? new ArrayList<>(earlier) : new ArrayList<>();
			all.add(response);
			return all;
		});
		count("target status " + response.status());
	}

	void addReceived(String id, Received response) {
		this.received.put(id, response);
		count("caller status " + response.status());
	}

	void addProblem(String problem) {
		this.problems.add(problem);
	}

	void count(String what) {
		this.counts.computeIfAbsent(what, (key) -> new AtomicInteger()).incrementAndGet();
	}

	int countOf(String what) {
		AtomicInteger count = this.counts.get(what);
		return (count != null) ? count.get() : 0;
	}

	int requests() {
		return this.received.size();
	}

	/**
	 * Returns the broken promises, one text each, with what the targets sent for the
	 * request. To be called when no request is in progress.
	 */
	List<String> findings() {
		List<String> findings = new ArrayList<>(this.problems);
		this.received.forEach((id, response) -> {
			List<Sent> candidates = this.sent.getOrDefault(id, List.of());
			String rule = brokenRule(response, candidates);
			if (rule != null) {
				findings.add(rule + " id " + id + " received " + response + " while the targets sent " + candidates);
			}
		});
		return findings;
	}

	private static @Nullable String brokenRule(Received response, List<Sent> candidates) {
		long runs = candidates.stream().filter(Sent::ran).count();
		if (response.onceOnly() && runs > 1) {
			return "TWICE";
		}
		if (response.status() == 0) {
			return "UNANSWERED";
		}
		if (response.claimsNotRun()) {
			return (runs > 0) ? "REFUSED" : null;
		}
		boolean fromTarget = !response.signature().isEmpty() || response.status() < 300;
		return (fromTarget && candidates.stream().noneMatch(response::matches)) ? "MIXED" : null;
	}

	@Override
	public String toString() {
		return this.received.size() + " requests, " + this.counts;
	}

	/**
	 * A response that a target meant to send.
	 *
	 * @param status the status
	 * @param signature the signature, empty if the request has not run
	 * @param body the whole body
	 * @param ran whether the request has run
	 * @param origin the target, the connection, and what the connection carried before
	 */
	record Sent(int status, String signature, String body, boolean ran, String origin) {
	}

	/**
	 * A response as a caller received it.
	 *
	 * @param host the host that sent it
	 * @param onceOnly whether the request must not run twice
	 * @param status the status, 0 if there was no response
	 * @param signature the signature, empty if there is none
	 * @param body the body, or the error if there was no response
	 */
	record Received(String host, boolean onceOnly, int status, String signature, String body) {

		private boolean claimsNotRun() {
			return this.status == 503 || this.status == 429 || this.status == 408 || this.status == 421;
		}

		private boolean matches(Sent response) {
			return response.ran() && this.status == response.status() && this.signature.equals(response.signature())
					&& this.body.equals(response.body());
		}

	}

}
