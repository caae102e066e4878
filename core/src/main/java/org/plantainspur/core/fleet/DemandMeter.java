package org.plantainspur.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Measures how many requests a second of each account reach this host.
 */
public final class DemandMeter {

	/**
	 * Follows a sudden rise within about a second, and smooths the gaps between requests.
	 */
	private static final double TIME_CONSTANT_MS = 1_500;

	private static final double LEAST = 0.02;

	private final ConcurrentMap<String, LongAdder> arrivals = new ConcurrentHashMap<>();

	private final Map<String, Double> smoothed = new HashMap<>();

	/**
	 * Records a request.
	 * @param account the account's name
	 */
	public void arrived(String account) {
		this.arrivals.computeIfAbsent(account, (name) -> new LongAdder()).increment();
	}

	/**
	 * Takes the arrivals since the last call into the rates. Called by one thread.
	 * @param elapsedMs the time since the last call, in milliseconds
	 * @return requests a second by account, without accounts that hardly send
	 */
	public Map<String, Double> update(long elapsedMs) {
		double gain = 1 - Math.exp(-elapsedMs / TIME_CONSTANT_MS);
		this.arrivals.forEach((account, count) -> {
			double rate = count.sumThenReset() * 1_000.0 / Math.max(1, elapsedMs);
			this.smoothed.merge(account, rate * gain, (before, ignored) -> before + (rate - before) * gain);
		});
		this.smoothed.values().removeIf((rate) -> rate < LEAST);
		return Map.copyOf(this.smoothed);
	}

}
