package org.plantainspur.standins.target;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.plantainspur.standins.http.Request;

/**
 * The record of every action that was begun, by the identity of its request, from which
 * tests prove that an action ran at most once.
 */
final class RunRecords {

	/** Bounds the memory of long runs; runs beyond it are counted as not recorded. */
	static final int MAXIMUM_IDENTITIES = 500_000;

	private final Map<String, Run> runs = new LinkedHashMap<>();

	private long started;

	private long notRecorded;

	/**
	 * Returns the identity of a request.
	 * @param request the request
	 * @return its idempotency key, else its request id, else {@code null}
	 */
	static @Nullable String identity(Request request) {
		String key = request.header("Idempotency-Key");
		return (key != null) ? key : request.header("X-Request-Id");
	}

	/**
	 * Records that a request begins to run.
	 * @param request the request
	 */
	synchronized void begin(Request request) {
		this.started++;
		String identity = identity(request);
		if (identity == null || (this.runs.size() >= MAXIMUM_IDENTITIES && !this.runs.containsKey(identity))) {
			this.notRecorded++;
			return;
		}
		this.runs.merge(identity, first(identity, request), (known, ignored) -> known.again());
	}

	private Run first(String identity, Request request) {
		return new Run(this.started, identity, request.header("X-Client-Account"),
				request.method() + " " + request.target(), 1, 0);
	}

	/**
	 * Records that a run was given up.
	 * @param request the request
	 */
	synchronized void cancel(Request request) {
		String identity = identity(request);
		if (identity != null) {
			this.runs.computeIfPresent(identity, (key, run) -> run.cancelledOnce());
		}
	}

	/**
	 * Returns the records.
	 * @param identity only this identity, or all if {@code null}
	 * @param minimumCount only identities that were begun at least so many times
	 * @return the records in the order of their first runs
	 */
	synchronized Report report(@Nullable String identity, int minimumCount) {
		List<Run> found = new ArrayList<>();
		for (Run run : this.runs.values()) {
			if ((identity == null || identity.equals(run.identity())) && run.count() >= minimumCount) {
				found.add(run);
			}
		}
		return new Report(found, this.started, this.notRecorded);
	}

	synchronized Map<String, Integer> counts() {
		Map<String, Integer> counts = new LinkedHashMap<>();
		this.runs.forEach((identity, run) -> counts.put(identity, run.count()));
		return counts;
	}

	synchronized void clear() {
		this.runs.clear();
		this.started = 0;
		this.notRecorded = 0;
	}

	/**
	 * The runs of one identity.
	 *
	 * @param order the place of the first run among all runs of this target, from 1
	 * @param identity the identity
	 * @param account the client account of the first run, if named
	 * @param action the method and path of the first run
	 * @param count how often the action was begun
	 * @param cancelled how many of these runs were given up after they had begun
	 */
	record Run(long order, String identity, @Nullable String account, String action, int count, int cancelled) {

		private Run again() {
			return new Run(this.order, this.identity, this.account, this.action, this.count + 1, this.cancelled);
		}

		private Run cancelledOnce() {
			return new Run(this.order, this.identity, this.account, this.action, this.count, this.cancelled + 1);
		}

	}

	/**
	 * The records.
	 *
	 * @param runs the runs by identity
	 * @param started all runs that were begun
	 * @param notRecorded runs without identity or beyond the bound
	 */
	record Report(List<Run> runs, long started, long notRecorded) {
	}

}
