package org.plantainspur.core.health;

import java.util.ArrayList;
import java.util.List;
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

	private final AtomicIntegerArray latency = new AtomicIntegerArray(LATENCY_BUCKETS);

	void count(OutcomeRecorder.Outcome outcome) {
		counts(outcome.accountId()).incrementAndGet(outcome.kind().ordinal());
		if (outcome.kind() == OutcomeRecorder.Kind.SUCCESS) {
			this.latency.incrementAndGet(latencyBucket(outcome.latencyMillis()));
		}
	}

	private AtomicIntegerArray counts(String accountId) {
		AtomicIntegerArray known = this.accounts.get(accountId);
		if (known != null) {
			return known;
		}
		String name = (this.accounts.size() < MAX_ACCOUNTS) ? accountId : OTHER_ACCOUNTS;
		return this.accounts.computeIfAbsent(name, (id) -> new AtomicIntegerArray(KINDS));
	}

	static int latencyBucket(long millis) {
		return (millis <= 1) ? 0 : Math.min(LATENCY_BUCKETS - 1, Long.SIZE - Long.numberOfLeadingZeros(millis - 1));
	}

	PeerMessage.TargetEvidence drain(String targetId, int inFlight, boolean leaving) {
		List<PeerMessage.AccountEvidence> drained = new ArrayList<>();
		this.accounts.forEach((account, counts) -> {
			PeerMessage.AccountEvidence evidence = drain(account, counts);
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

	private static PeerMessage.@Nullable AccountEvidence drain(String account, AtomicIntegerArray counts) {
		int[] taken = new int[KINDS];
		int sum = 0;
		for (int i = 0; i < KINDS; i++) {
			taken[i] = counts.getAndSet(i, 0);
			sum += taken[i];
		}
		if (sum == 0) {
			return null;
		}
		return new PeerMessage.AccountEvidence(account, taken[OutcomeRecorder.Kind.SUCCESS.ordinal()],
				taken[OutcomeRecorder.Kind.FAILURE.ordinal()],
				taken[OutcomeRecorder.Kind.TIMEOUT.ordinal()] + taken[OutcomeRecorder.Kind.RESET.ordinal()],
				taken[OutcomeRecorder.Kind.CONNECT_FAILURE.ordinal()], taken[OutcomeRecorder.Kind.SHED.ordinal()]);
	}

}
