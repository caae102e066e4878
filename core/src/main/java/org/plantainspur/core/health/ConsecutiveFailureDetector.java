package org.plantainspur.core.health;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.plantainspur.core.peer.PeerMessage;

/**
 * Finds a target unhealthy after a number of consecutive failures at any one host. This
 * is the common outlier detection, used as a baseline.
 */
public final class ConsecutiveFailureDetector implements OutlierDetector {

	private final int limit;

	// By target id and the reporter's process id.
	private final Map<String, Map<String, Integer>> consecutiveFailures = new HashMap<>();

	/**
	 * Creates a detector.
	 * @param limit the number of consecutive failures from which a target is unhealthy
	 */
	public ConsecutiveFailureDetector(int limit) {
		this.limit = limit;
	}

	@Override
	public void observe(Observation observation) {
		int failures = 0;
		int successes = 0;
		for (PeerMessage.AccountEvidence account : observation.evidence().accounts()) {
			failures += account.failures() + account.unanswered() + account.connectFailures();
			successes += account.successes();
		}
		Map<String, Integer> byReporter = this.consecutiveFailures.computeIfAbsent(observation.target().id(),
				(id) -> new HashMap<>());
		// The order of outcomes within one report is unknown, so any success ends the
		// run.
		if (successes > 0) {
			byReporter.remove(observation.reporterProcessId());
		}
		else if (failures > 0) {
			byReporter.merge(observation.reporterProcessId(), failures, Integer::sum);
		}
	}

	@Override
	public Assessment assess(String targetId) {
		int longest = this.consecutiveFailures.getOrDefault(targetId, Map.of())
			.values()
			.stream()
			.mapToInt(Integer::intValue)
			.max()
			.orElse(0);
		return new Assessment(longest >= this.limit, longest, Set.of(), longest + " failures in a row");
	}

	@Override
	public void readmitted(String targetId) {
		this.consecutiveFailures.remove(targetId);
	}

	@Override
	public void retain(Collection<String> targetIds) {
		this.consecutiveFailures.keySet().retainAll(targetIds);
	}

}
