package org.plantainspur.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Decides when a failure domain's usage totals are sent to other domains, and for which
 * accounts. Bytes between failure domains are billed, so all totals are sent rarely. An
 * account whose rate changes, or that is near its limit, is sent soon, since the other
 * domains would otherwise go on to assume its former rate: an account may suddenly send
 * many times its rate in all failure domains. Used by one thread.
 */
public final class DigestSchedule {

	/**
	 * The interval between digests of all accounts. Must be shorter than
	 * {@link FleetView#DIGEST_VALID_MS}, after which the other domains drop the rates.
	 */
	static final long FULL_INTERVAL_MS = 2_900;

	/**
	 * The shortest interval between digests of accounts that changed or are near their
	 * limit.
	 */
	static final long CHANGES_INTERVAL_MS = 300;

	/**
	 * A changed rate is sent only if the change exceeds this fraction of the last rate
	 * sent; smaller changes are random variation.
	 */
	private static final double MIN_RELATIVE_CHANGE = 0.3;

	/**
	 * A changed rate is sent only if it changed by more than this; smaller changes do not
	 * affect any limit.
	 */
	private static final double MIN_CHANGE_PER_SECOND = 1.5;

	private final Map<String, AccountUsage> lastSent = new HashMap<>();

	private long fullSentMs = Long.MIN_VALUE / 2;

	private long sentMs = Long.MIN_VALUE / 2;

	/**
	 * Returns the usage that is due now; it counts as sent.
	 * @param totals the usage of the failure domain by the account's name
	 * @param nearLimit the names of the accounts that are near their limit
	 * @param nowMs the clock's current reading in milliseconds
	 * @return the usage to send by the account's name, empty if none is due
	 */
	public Map<String, AccountUsage> due(Map<String, AccountUsage> totals, Set<String> nearLimit, long nowMs) {
		if (nowMs - this.fullSentMs >= FULL_INTERVAL_MS) {
			this.fullSentMs = nowMs;
			this.lastSent.clear();
			return recordSent(totals, nowMs);
		}
		if (nowMs - this.sentMs < CHANGES_INTERVAL_MS) {
			return Map.of();
		}
		Map<String, AccountUsage> changes = new HashMap<>();
		totals.forEach((account, usage) -> {
			AccountUsage previous = this.lastSent.getOrDefault(account, AccountUsage.NONE);
			if (rateChanged(previous, usage) || (nearLimit.contains(account) && usage.count() != previous.count())) {
				changes.put(account, usage);
			}
		});
		return changes.isEmpty() ? changes : recordSent(changes, nowMs);
	}

	private Map<String, AccountUsage> recordSent(Map<String, AccountUsage> usage, long nowMs) {
		this.sentMs = nowMs;
		this.lastSent.putAll(usage);
		return usage;
	}

	private static boolean rateChanged(AccountUsage previous, AccountUsage after) {
		double change = Math.abs(after.ratePerSecond() - previous.ratePerSecond());
		return change > Math.max(MIN_CHANGE_PER_SECOND, previous.ratePerSecond() * MIN_RELATIVE_CHANGE);
	}

}
