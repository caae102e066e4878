package org.plantainspur.core.fleet;

import java.util.Comparator;
import java.util.List;

/**
 * Sends callers to a few hosts of their failure domain that take any: the ones with the
 * most cores, in the order of their names. A host that carries more of the traffic sees
 * more of each target and of each account, and uses its connections to targets again; the
 * others stand by. Answers the load of a failure domain with hosts of different sizes.
 */
public final class FirstHostsChoice implements EntryChoice {

	/** So that callers have another address when a host is killed. */
	static final int LEAST_HOSTS = 2;

	/** A host with less than this part of the largest one's cores would be late. */
	private static final double COMPARABLE = 0.5;

	private final int most;

	/**
	 * Creates a choice.
	 * @param most how many hosts of a failure domain carry traffic at most
	 */
	public FirstHostsChoice(int most) {
		this.most = most;
	}

	@Override
	public List<HostBeat> choose(List<HostBeat> candidates) {
		List<HostBeat> sorted = candidates.stream()
			.filter(HostBeat::taking)
			.sorted(Comparator.comparingDouble(HostBeat::cores).reversed().thenComparing(HostBeat::host))
			.toList();
		if (sorted.isEmpty()) {
			return sorted;
		}
		double least = sorted.get(0).cores() * COMPARABLE;
		int comparable = (int) sorted.stream().filter((host) -> host.cores() >= least).count();
		int number = Math.max(LEAST_HOSTS, Math.min(this.most, comparable));
		return sorted.subList(0, Math.min(number, sorted.size()));
	}

}
