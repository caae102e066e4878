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
 * The outcomes of one target since the last report.
 */
final class TargetTally {

	/** Accounts counted by name; the rest share one entry, which bounds a report. */
	static final int MAX_ACCOUNTS = 16;

	static final String OTHER_ACCOUNTS = "other";

	/** Bucket {@code i} ends at 2^i milliseconds; the last one has no end. */
	static final int LATENCY_BUCKETS = 17;

	private static final int KINDS = OutcomeRecorder.Kind.values().length;

	private final ConcurrentMap<String, AtomicIntegerArray> accounts = new ConcurrentHashMap<>();

	private final Set<RunningRequest> running = ConcurrentHashMap.newKeySet();

	// The overdue requests by account in the last report; only the reporting task uses
	// it.
	private final Map<String, Integer> overdueReported = new HashMap<>();

	private final AtomicIntegerArray latency = new AtomicIntegerArray(LATENCY_BUCKETS);

	OutcomeRecorder.Running began(String accountId, long nowMillis) {
		RunningRequest request = new RunningRequest(name(accountId), nowMillis);
		this.running.add(request);
		return request;
	}

	void count(OutcomeRecorder.Outcome outcome) {
		counts(name(outcome.accountId())).incrementAndGet(outcome.kind().ordinal());
		if (outcome.kind() == OutcomeRecorder.Kind.SUCCESS) {
			this.latency.incrementAndGet(latencyBucket(outcome.latencyMillis()));
		}
	}

	private String name(String accountId) {
		return (this.accounts.containsKey(accountId) || this.accounts.size() < MAX_ACCOUNTS) ? accountId
				: OTHER_ACCOUNTS;
	}

	private AtomicIntegerArray counts(String name) {
		AtomicIntegerArray known = this.accounts.get(name);
		return (known != null) ? known : this.accounts.computeIfAbsent(name, (id) -> new AtomicIntegerArray(KINDS));
	}

	static int latencyBucket(long millis) {
		return (millis <= 1) ? 0 : Math.min(LATENCY_BUCKETS - 1, Long.SIZE - Long.numberOfLeadingZeros(millis - 1));
	}

	PeerMessage.TargetEvidence drain(String targetId, int inFlight, boolean leaving, long startedBefore) {
		Map<String, Integer> overdue = new HashMap<>();
		this.running.forEach((request) -> {
			if (request.startedMillis < startedBefore) {
				counts(request.account);
				overdue.merge(request.account, 1, Integer::sum);
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
			latencies.add(this.latency.getAndSet(i, 0));
		}
		return new PeerMessage.TargetEvidence(targetId, drained, latencies, inFlight, leaving);
	}

	private static PeerMessage.@Nullable AccountEvidence drain(String account, AtomicIntegerArray counts,
			int overdueChange) {
		int[] taken = new int[KINDS];
		int sum = 0;
		for (int i = 0; i < KINDS; i++) {
			taken[i] = counts.getAndSet(i, 0);
			sum += taken[i];
		}
		if (sum == 0 && overdueChange == 0) {
			return null;
		}
		return new PeerMessage.AccountEvidence(account, taken[OutcomeRecorder.Kind.SUCCESS.ordinal()],
				taken[OutcomeRecorder.Kind.FAILURE.ordinal()],
				taken[OutcomeRecorder.Kind.TIMEOUT.ordinal()] + taken[OutcomeRecorder.Kind.RESET.ordinal()],
				taken[OutcomeRecorder.Kind.CONNECT_FAILURE.ordinal()], taken[OutcomeRecorder.Kind.SHED.ordinal()],
				overdueChange);
	}

	private int overdueChange(String account, Map<String, Integer> overdue) {
		int now = overdue.getOrDefault(account, 0);
		Integer before = (now > 0) ? this.overdueReported.put(account, now) : this.overdueReported.remove(account);
		return now - ((before != null) ? before : 0);
	}

	// Each request is an element of its own, so equality stays that of the object.
	private final class RunningRequest implements OutcomeRecorder.Running {

		private final String account;

		private final long startedMillis;

		private RunningRequest(String account, long startedMillis) {
			this.account = account;
			this.startedMillis = startedMillis;
		}

		@Override
		public void close() {
			TargetTally.this.running.remove(this);
		}

	}

}
