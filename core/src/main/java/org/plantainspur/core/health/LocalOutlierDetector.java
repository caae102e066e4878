package org.plantainspur.core.health;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.plantainspur.core.peer.PeerMessage;

/**
 * Keeps a log-likelihood ratio for each target and host and finds a target unhealthy when
 * the evidence of a single host suffices. Used as a baseline without pooled evidence.
 */
public final class LocalOutlierDetector implements OutlierDetector {

	/** The failure rate assumed for a healthy target. */
	private static final double HEALTHY_RATE = 0.01;

	/** The failure rate assumed for an unhealthy target. */
	private static final double UNHEALTHY_RATE = 0.3;

	// The cumulative ratio by target id and the reporter's process id.
	private final Map<String, Map<String, Double>> sums = new HashMap<>();

	@Override
	public void observe(Observation observation) {
		double ratio = 0;
		for (PeerMessage.AccountEvidence account : observation.evidence().accounts()) {
			int failures = account.failures() + account.unanswered() + account.connectFailures();
			ratio += LogLikelihood.ratio(failures, account.successes(), HEALTHY_RATE, UNHEALTHY_RATE);
		}
		double reportRatio = ratio;
		this.sums.computeIfAbsent(observation.target().id(), (id) -> new HashMap<>())
			.compute(observation.reporterProcessId(), (id, old) -> {
				double sum = Math.max(0, ((old != null) ? old : 0) + reportRatio);
				return (sum > 0) ? sum : null;
			});
	}

	@Override
	public Assessment assess(String targetId) {
		double largest = this.sums.getOrDefault(targetId, Map.of())
			.values()
			.stream()
			.mapToDouble(Double::doubleValue)
			.max()
			.orElse(0);
		return new Assessment(largest >= PooledOutlierDetector.THRESHOLD, largest, Set.of(),
				"log-likelihood ratio at one host " + Math.round(largest));
	}

	@Override
	public void readmitted(String targetId) {
		this.sums.remove(targetId);
	}

	@Override
	public void retain(Collection<String> targetIds) {
		this.sums.keySet().retainAll(targetIds);
	}

}
