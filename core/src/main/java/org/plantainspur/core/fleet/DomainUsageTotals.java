package org.plantainspur.core.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Totals the usage of the hosts of a failure domain. A total never decreases, even when a
 * host restarts and counts from zero. Used by one thread.
 */
public final class DomainUsageTotals {

	private final Map<String, Map<String, Long>> lastByHost = new HashMap<>();

	private final Map<String, Long> totals = new HashMap<>();

	/**
	 * Adds what the hosts' counts have increased by since the previous call. The first
	 * count of a host adds nothing.
	 * @param heartbeats the last heartbeats of the hosts that are alive
	 * @return the total usage of the failure domain by the account's name, for the
	 * accounts in the heartbeats
	 */
	public Map<String, AccountUsage> add(Collection<HostHeartbeat> heartbeats) {
		Map<String, Double> rates = new HashMap<>();
		for (HostHeartbeat heartbeat : heartbeats) {
			Map<String, Long> lastCounts = this.lastByHost.computeIfAbsent(heartbeat.host(), (name) -> new HashMap<>());
			heartbeat.usage().forEach((account, usage) -> {
				Long previous = lastCounts.put(account, usage.count());
				long increase = (previous == null || usage.count() < previous) ? 0 : usage.count() - previous;
				this.totals.merge(account, increase, Long::sum);
				rates.merge(account, usage.ratePerSecond(), Double::sum);
			});
		}
		Map<String, AccountUsage> usageByAccount = new HashMap<>();
		rates.forEach((account, rate) -> usageByAccount.put(account,
				new AccountUsage(this.totals.getOrDefault(account, 0L), rate)));
		return usageByAccount;
	}

}
