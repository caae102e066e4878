package org.plantainspur.core.health;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.plantainspur.core.peer.PeerMessage;

/**
 * The requests in flight on each target, summed over the latest reports of all hosts.
 */
final class PooledLoad {

	/** How long the requests in a host's latest report are counted. */
	private static final long HOST_EXPIRY_MILLIS = 2000;

	private final Map<String, HostLoad> hosts = new HashMap<>();

	private final Map<String, Integer> sums = new HashMap<>();

	void report(String processId, List<PeerMessage.TargetEvidence> evidence, long nowMillis) {
		this.hosts.values().removeIf((load) -> {
			boolean expired = nowMillis - load.atMillis() > HOST_EXPIRY_MILLIS;
			if (expired) {
				subtract(load);
			}
			return expired;
		});
		Map<String, Integer> inFlight = new HashMap<>();
		for (PeerMessage.TargetEvidence target : evidence) {
			if (target.inFlight() > 0) {
				inFlight.put(target.targetId(), target.inFlight());
				this.sums.merge(target.targetId(), target.inFlight(), Integer::sum);
			}
		}
		HostLoad previous = this.hosts.put(processId, new HostLoad(inFlight, nowMillis));
		if (previous != null) {
			subtract(previous);
		}
	}

	int load(String targetId) {
		return this.sums.getOrDefault(targetId, 0);
	}

	private void subtract(HostLoad load) {
		load.inFlight()
			.forEach((id, count) -> this.sums.computeIfPresent(id, (key, sum) -> (sum > count) ? sum - count : null));
	}

	private record HostLoad(Map<String, Integer> inFlight, long atMillis) {
	}

}
