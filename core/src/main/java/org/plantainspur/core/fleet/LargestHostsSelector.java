package org.plantainspur.core.fleet;

import java.util.Comparator;
import java.util.List;

/**
 * Selects a few hosts that accept callers: those with the most cores, and of hosts with
 * equally many cores the first by name. A host that carries more of the traffic observes
 * more outcomes of each target and more requests of each account, and reuses its
 * connections to targets; the other hosts stand by. Hosts that are much smaller than the
 * largest one are left out if possible.
 */
public final class LargestHostsSelector implements TrafficHostSelector {

	/** At least two, so that callers have another address when a host is killed. */
	static final int MIN_HOSTS = 2;

	/**
	 * A host with less than this fraction of the largest host's cores would respond too
	 * late, and is selected only if there would be fewer than {@link #MIN_HOSTS}
	 * otherwise.
	 */
	private static final double MIN_CORES_RATIO = 0.5;

	private final int maxHosts;

	/**
	 * Creates a selector.
	 * @param maxHosts the largest number of hosts of a failure domain that carry traffic;
	 * less than {@link #MIN_HOSTS} counts as {@link #MIN_HOSTS}
	 */
	public LargestHostsSelector(int maxHosts) {
		this.maxHosts = maxHosts;
	}

	@Override
	public List<HostHeartbeat> select(List<HostHeartbeat> candidates) {
		List<HostHeartbeat> sorted = candidates.stream()
			.filter(HostHeartbeat::acceptingCallers)
			.sorted(Comparator.comparingDouble(HostHeartbeat::cores).reversed().thenComparing(HostHeartbeat::host))
			.toList();
		if (sorted.isEmpty()) {
			return sorted;
		}
		double minCores = sorted.get(0).cores() * MIN_CORES_RATIO;
		int comparable = (int) sorted.stream().filter((host) -> host.cores() >= minCores).count();
		int selected = Math.max(MIN_HOSTS, Math.min(this.maxHosts, comparable));
		return sorted.subList(0, Math.min(selected, sorted.size()));
	}

}
