package org.plantainspur.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Decides when a failure domain's sums go to the others, and which. Bytes between failure
 * domains are billed, so all sums go out seldom; an account whose use rises or falls, or
 * that presses on its limit, is told soon, since the others would go on to count with its
 * former rate. Answers the load of an account that suddenly sends many times its rate in
 * all failure domains, among many accounts that do not. Used by one thread.
 */
public final class DigestSchedule {

	/** The others use a domain's last rates for longer than this. */
	static final long UNCHANGED_MS = 2_900;

	/** While an account presses on its limit, or when a rate has changed. */
	static final long CHANGED_MS = 300;

	/** Rates vary by this part without meaning anything. */
	private static final double VARIATION = 0.3;

	/** Smaller changes do not matter to any limit. */
	private static final double LEAST_CHANGE = 1.5;

	private final Map<String, Usage> told = new HashMap<>();

	private long allToldMs = Long.MIN_VALUE / 2;

	private long toldMs = Long.MIN_VALUE / 2;

	/**
	 * Decides what to tell now; it counts as told.
	 * @param sums the usage of the failure domain by account
	 * @param pressed the accounts that press on their limits
	 * @param now the reading of the clock
	 * @return the usage that goes out, empty for none
	 */
	public Map<String, Usage> due(Map<String, Usage> sums, Set<String> pressed, long now) {
		if (now - this.allToldMs >= UNCHANGED_MS) {
			this.allToldMs = now;
			this.told.clear();
			return tell(sums, now);
		}
		if (now - this.toldMs < CHANGED_MS) {
			return Map.of();
		}
		Map<String, Usage> news = new HashMap<>();
		sums.forEach((account, usage) -> {
			Usage before = this.told.getOrDefault(account, Usage.NONE);
			if (changed(before, usage) || (pressed.contains(account) && usage.count() != before.count())) {
				news.put(account, usage);
			}
		});
		return news.isEmpty() ? news : tell(news, now);
	}

	private Map<String, Usage> tell(Map<String, Usage> usage, long now) {
		this.toldMs = now;
		this.told.putAll(usage);
		return usage;
	}

	private static boolean changed(Usage before, Usage after) {
		double change = Math.abs(after.ratePerSecond() - before.ratePerSecond());
		return change > Math.max(LEAST_CHANGE, before.ratePerSecond() * VARIATION);
	}

}
