package org.plantainspur.standins.target;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.plantainspur.standins.http.Request;

/**
 * Records every action that the target started, by the identity of its request. Tests use
 * the records to verify that an action ran at most once.
 */
final class RunRecords {

	/**
	 * The maximum number of identities with a record, which bounds the memory use.
	 * Actions with further identities are only counted as not recorded.
	 */
	static final int MAXIMUM_IDENTITIES = 500_000;

	private final Map<String, Run> runs = new LinkedHashMap<>();

	private long started;

	private long notRecorded;

	/**
	 * Returns the identity of a request.
	 * @param request the request with its header fields
	 * @return the value of Idempotency-Key, else of X-Request-Id, else {@code null}
	 */
	static @Nullable String identity(Request request) {
		String key = request.header("Idempotency-Key");
		return (key != null) ? key : request.header("X-Request-Id");
	}

	/**
	 * Records that the action of a request starts.
	 * @param request the request that is about to run
	 */
	synchronized void recordStart(Request request) {
		this.started++;
		String identity = identity(request);
		if (identity == null || (this.runs.size() >= MAXIMUM_IDENTITIES && !this.runs.containsKey(identity))) {
			this.notRecorded++;
			return;
		}
		this.runs.merge(identity, firstRun(identity, request), (known, ignored) -> known.withAnotherRun());
	}

	private Run firstRun(String identity, Request request) {
		return new Run(this.started, identity, request.header("X-Client-Account"),
				request.method() + " " + request.target(), 1, 0);
	}

	/**
	 * Records that a started action was cancelled.
	 * @param request the request whose client closed the connection or whose deadline
	 * passed
	 */
	synchronized void recordCancellation(Request request) {
		String identity = identity(request);
		if (identity != null) {
			this.runs.computeIfPresent(identity, (key, run) -> run.withCancelledRun());
		}
	}

	/**
	 * Returns the records that match a filter.
	 * @param identity the only identity to return, or {@code null} for all
	 * @param minimumCount the least number of starts of an identity to return
	 * @return the records in the order of their first starts
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

	synchronized Map<String, Integer> countsByIdentity() {
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
	 * @param order the position of the first run among all runs of this target, from 1
	 * @param identity the idempotency key or request id
	 * @param account the client account of the first run, or {@code null} if the request
	 * named none
	 * @param action the method and path of the first run
	 * @param count how often the action was started
	 * @param cancelled how many of these runs were cancelled after their start
	 */
	record Run(long order, String identity, @Nullable String account, String action, int count, int cancelled) {

		private Run withAnotherRun() {
			return new Run(this.order, this.identity, this.account, this.action, this.count + 1, this.cancelled);
		}

		private Run withCancelledRun() {
			return new Run(this.order, this.identity, this.account, this.action, this.count, this.cancelled + 1);
		}

	}

	/**
	 * The records of a target, as sent to tests.
	 *
	 * @param runs one record for each identity that matches the filter
	 * @param started the number of all started runs
	 * @param notRecorded the number of runs without an identity or beyond
	 * {@link #MAXIMUM_IDENTITIES}
	 */
	record Report(List<Run> runs, long started, long notRecorded) {
	}

}
