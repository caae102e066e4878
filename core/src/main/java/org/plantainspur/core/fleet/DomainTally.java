package org.plantainspur.core.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Sums up what the hosts of a failure domain used. Counts go on rising when a host starts
 * again and counts from zero. Used by one thread.
 */
public final class DomainTally {

	private final Map<String, Map<String, Long>> lastByHost = new HashMap<>();

	private final Map<String, Long> totals = new HashMap<>();

	/**
	 * Adds the news in the hosts' last beats.
	 * @param hosts the beats of the hosts that are alive
	 * @return the usage by account
	 */
	public Map<String, Usage> sum(Collection<HostBeat> hosts) {
		Map<String, Double> rates = new HashMap<>();
		for (HostBeat beat : hosts) {
			Map<String, Long> last = this.lastByHost.computeIfAbsent(beat.host(), (name) -> new HashMap<>());
			beat.usage().forEach((account, usage) -> {
				Long before = last.put(account, usage.count());
				long news = (before == null || usage.count() < before) ? 0 : usage.count() - before;
				this.totals.merge(account, news, Long::sum);
				rates.merge(account, usage.ratePerSecond(), Double::sum);
			});
		}
		Map<String, Usage> sums = new HashMap<>();
		rates.forEach((account, rate) -> sums.put(account, new Usage(this.totals.getOrDefault(account, 0L), rate)));
		return sums;
	}

}
