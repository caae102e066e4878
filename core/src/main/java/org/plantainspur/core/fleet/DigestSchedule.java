package org.plantainspur.core.fleet;

import java.util.Map;

/**
 * Decides when a failure domain's sums go to the others. Bytes between failure domains
 * are billed, so sums that hardly change go out seldom; an account whose use rises or
 * falls is told at once, since the others would go on to count with its former rate.
 * Answers the load of an account that suddenly sends many times its rate in all failure
 * domains. Used by one thread.
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

	private Map<String, Usage> told = Map.of();

	private long toldMs = Long.MIN_VALUE / 2;

	/**
	 * Decides whether to tell now; if so, the sums count as told.
	 * @param sums the usage of the failure domain by account
	 * @param pressed whether an account presses on its limit
	 * @param now the reading of the clock
	 * @return whether the sums go out
	 */
	public boolean due(Map<String, Usage> sums, boolean pressed, long now) {
		long since = now - this.toldMs;
		if (since < CHANGED_MS || (since < UNCHANGED_MS && !pressed && !changed(sums))) {
			return false;
		}
		this.told = sums;
		this.toldMs = now;
		return true;
	}

	private boolean changed(Map<String, Usage> sums) {
		return sums.entrySet().stream().anyMatch((entry) -> {
			double before = this.told.getOrDefault(entry.getKey(), Usage.NONE).ratePerSecond();
			double change = Math.abs(entry.getValue().ratePerSecond() - before);
			return change > Math.max(LEAST_CHANGE, before * VARIATION);
		});
	}

}
