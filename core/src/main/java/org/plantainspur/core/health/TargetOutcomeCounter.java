package org.plantainspur.core.health;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicIntegerArray;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.peer.PeerMessage;

/**
 * Counts the outcomes of one target since the last report.
 */
final class TargetOutcomeCounter {

	/**
	 * The number of accounts that are counted separately; all others share one entry,
	 * which bounds the size of a report.
	 */
	static final int MAX_ACCOUNTS = 16;

	/** The account id under which all further accounts are reported. */
	static final String OTHER_ACCOUNTS = "other";

	/**
	 * The number of latency buckets. Bucket {@code i} ends at 2^i milliseconds; the last
	 * one is unbounded.
	 */
	static final int LATENCY_BUCKETS = 17;

	private static final int KIND_COUNT = OutcomeRecorder.Kind.values().length;

	// By account id; each array is indexed by the ordinal of the outcome's kind.
	private final ConcurrentMap<String, AtomicIntegerArray> accounts = new ConcurrentHashMap<>();

	private final Set<TrackedDispatch> inFlightDispatches = ConcurrentHashMap.newKeySet();

	// The overdue requests by account as of the last report. Only the reporting task uses
	// it.
	private final Map<String, Integer> lastReportedOverdue = new HashMap<>();

	private final AtomicIntegerArray latencyCounts = new AtomicIntegerArray(LATENCY_BUCKETS);

	OutcomeRecorder.InFlightDispatch dispatchStarted(String accountId, long nowMillis) {
		TrackedDispatch dispatch = new TrackedDispatch(reportedAccount(accountId), nowMillis);
		this.inFlightDispatches.add(dispatch);
		return dispatch;
	}

	void count(OutcomeRecorder.Outcome outcome) {
		counts(reportedAccount(outcome.accountId())).incrementAndGet(outcome.kind().ordinal());
		if (outcome.kind() == OutcomeRecorder.Kind.SUCCESS) {
			this.latencyCounts.incrementAndGet(latencyBucket(outcome.latencyMillis()));
		}
	}

	private String reportedAccount(String accountId) {
		return (this.accounts.containsKey(accountId) || this.accounts.size() < MAX_ACCOUNTS) ? accountId
				: OTHER_ACCOUNTS;
	}

	private AtomicIntegerArray counts(String account) {
		AtomicIntegerArray existing = this.accounts.get(account);
		return (existing != null) ? existing
				: this.accounts.computeIfAbsent(account, (id) -> new AtomicIntegerArray(KIND_COUNT));
	}

	static int latencyBucket(long millis) {
		return (millis <= 1) ? 0 : Math.min(LATENCY_BUCKETS - 1, Long.SIZE - Long.numberOfLeadingZeros(millis - 1));
	}

	PeerMessage.TargetEvidence drain(String targetId, int inFlight, boolean leaving, long overdueIfStartedBefore) {
		Map<String, Integer> overdue = new HashMap<>();
		this.inFlightDispatches.forEach((dispatch) -> {
			if (dispatch.startedMillis < overdueIfStartedBefore) {
				// Creates the account's entry if it has no outcomes yet; otherwise the
				// overdue requests would not be reported.
				counts(dispatch.account);
				overdue.merge(dispatch.account, 1, Integer::sum);
			}
		});
		List<PeerMessage.AccountEvidence> drained = new ArrayList<>();
		this.accounts.forEach((account, counts) -> {
			PeerMessage.AccountEvidence evidence = drain(account, counts, overdueChange(account, overdue));
			if (evidence != null) {
				drained.add(evidence);
			}
		});
		List<Integer> latencies = new ArrayList<>(LATENCY_BUCKETS);
		for (int i = 0; i < LATENCY_BUCKETS; i++) {
			latencies.add(this.latencyCounts.getAndSet(i, 0));
		}
		return new PeerMessage.TargetEvidence(targetId, drained, latencies, inFlight, leaving);
	}

	private static PeerMessage.@Nullable AccountEvidence drain(String account, AtomicIntegerArray counts,
			int overdueChange) {
		int[] drainedCounts = new int[KIND_COUNT];
		int sum = 0;
		for (int i = 0; i < KIND_COUNT; i++) {
			drainedCounts[i] = counts.getAndSet(i, 0);
			sum += drainedCounts[i];
		}
		if (sum == 0 && overdueChange == 0) {
			return null;
		}
		return new PeerMessage.AccountEvidence(account, drainedCounts[OutcomeRecorder.Kind.SUCCESS.ordinal()],
				drainedCounts[OutcomeRecorder.Kind.FAILURE.ordinal()],
				drainedCounts[OutcomeRecorder.Kind.TIMEOUT.ordinal()]
						+ drainedCounts[OutcomeRecorder.Kind.RESET.ordinal()],
				drainedCounts[OutcomeRecorder.Kind.CONNECT_FAILURE.ordinal()],
				drainedCounts[OutcomeRecorder.Kind.SHED.ordinal()], overdueChange);
	}

	private int overdueChange(String account, Map<String, Integer> overdue) {
		int current = overdue.getOrDefault(account, 0);
		Integer previous = (current > 0) ? this.lastReportedOverdue.put(account, current)
				: this.lastReportedOverdue.remove(account);
		return current - ((previous != null) ? previous : 0);
	}

	// Not a record: dispatches with equal values must stay separate set elements.
	private final class TrackedDispatch implements OutcomeRecorder.InFlightDispatch {

		private final String account;

		private final long startedMillis;

		private TrackedDispatch(String account, long startedMillis) {
			this.account = account;
			this.startedMillis = startedMillis;
		}

		@Override
		public void close() {
			TargetOutcomeCounter.this.inFlightDispatches.remove(this);
		}

	}

}
