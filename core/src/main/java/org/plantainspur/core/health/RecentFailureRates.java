package org.plantainspur.core.health;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.plantainspur.core.peer.PeerMessage;

/**
 * The failure rate of each target over its latest outcomes, to compare unhealthy targets.
 * The severity of an assessment cannot be used for this: it measures certainty and is
 * bounded. Outcomes decay only as newer ones arrive, so an ejected target keeps its rate.
 */
final class RecentFailureRates {

	/**
	 * The minimum number of outcomes, after decay, from which a rate is computed; among
	 * fewer it is not meaningful.
	 */
	static final int MIN_OUTCOMES = 12;

	/** The decay time constant; outcomes of about the last 5 s determine the rate. */
	private static final double DECAY_MILLIS = 5000;

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
	 * Returns the failure rate of a target.
	 * @param targetId the target's id
	 * @return 0 to 1, or {@code NaN} if there are fewer than {@link #MIN_OUTCOMES}
	 * outcomes
	 */
	double rate(String targetId) {
		Counts recent = this.counts.get(targetId);
		return (recent != null && recent.total() >= MIN_OUTCOMES) ? recent.failures() / recent.total() : Double.NaN;
	}

	void forget(String targetId) {
		this.counts.remove(targetId);
	}

	void retain(Collection<String> targetIds) {
		this.counts.keySet().retainAll(targetIds);
	}

	private record Counts(double failures, double total, long atMillis) {

		Counts plus(Counts newer) {
			double remainingWeight = Math.exp(-(newer.atMillis - this.atMillis) / DECAY_MILLIS);
			return new Counts(this.failures * remainingWeight + newer.failures,
					this.total * remainingWeight + newer.total, newer.atMillis);
		}

	}

}
