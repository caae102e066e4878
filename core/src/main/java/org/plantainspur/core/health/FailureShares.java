package org.plantainspur.core.health;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.plantainspur.core.peer.PeerMessage;

/**
 * The share of failures among the latest outcomes of each target. A judge's sickness
 * measures how sure it is and is bounded, so it does not tell how much two sick targets
 * differ. Outcomes fade only as newer ones arrive, so an ejected target keeps its share.
 */
final class FailureShares {

	/** A share of fewer outcomes says little. */
	static final int LEAST_OUTCOMES = 12;

	/** About the last 5 s of outcomes count. */
	private static final double FADE_MILLIS = 5000;

	private final Map<String, Counts> counts = new HashMap<>();

	void observe(PeerMessage.TargetEvidence evidence, long nowMillis) {
		int failures = 0;
		int successes = 0;
		for (PeerMessage.AccountEvidence account : evidence.accounts()) {
			failures += Math.max(0, account.failures()) + Math.max(0, account.unanswered())
					+ Math.max(0, account.connectFailures());
			successes += Math.max(0, account.successes());
		}
		if (failures + successes > 0) {
			this.counts.merge(evidence.targetId(), new Counts(failures, failures + successes, nowMillis), Counts::plus);
		}
	}

	/**
	 * Returns the share of failures.
	 * @param targetId the target
	 * @return 0 to 1, or {@code NaN} if there are too few outcomes
	 */
	double share(String targetId) {
		Counts held = this.counts.get(targetId);
		return (held != null && held.all() >= LEAST_OUTCOMES) ? held.failures() / held.all() : Double.NaN;
	}

	void forget(String targetId) {
		this.counts.remove(targetId);
	}

	void retain(Collection<String> targetIds) {
		this.counts.keySet().retainAll(targetIds);
	}

	private record Counts(double failures, double all, long atMillis) {

		Counts plus(Counts newer) {
			double left = Math.exp(-(newer.atMillis - this.atMillis) / FADE_MILLIS);
			return new Counts(this.failures * left + newer.failures, this.all * left + newer.all, newer.atMillis);
		}

	}

}
