package org.plantainspur.core.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;

/**
 * Counts what this host passes on for each account.
 */
public final class UsageMeter {

	/** Follows a change within a second, and smooths the gaps between requests. */
	private static final double TIME_CONSTANT_MS = 600;

	/** The others learn at once of this many requests of an account. */
	static final int UNREPORTED = 4;

	private static final double LEAST_RATE = 0.01;

	private final ConcurrentMap<String, LongAdder> counts = new ConcurrentHashMap<>();

	private final Map<String, Usage> reported = new HashMap<>();

	private final ConcurrentMap<String, LongAdder> unreported = new ConcurrentHashMap<>();

	private final AtomicBoolean urgent = new AtomicBoolean();

	private final Set<String> pressed = ConcurrentHashMap.newKeySet();

	/**
	 * Records a request that is passed on.
	 * @param account the account's name
	 * @param pressed whether the account presses on its limit, so that the others should
	 * know soon
	 */
	public void passed(String account, boolean pressed) {
		this.counts.computeIfAbsent(account, (name) -> new LongAdder()).increment();
		LongAdder news = this.unreported.computeIfAbsent(account, (name) -> new LongAdder());
		news.increment();
		if (pressed) {
			this.pressed.add(account);
		}
		if (pressed || news.sum() >= UNREPORTED) {
			this.urgent.set(true);
		}
	}

	/**
	 * Returns whether the other hosts should be told now.
	 * @return {@code true} once an account has used much since the last report
	 */
	public boolean urgent() {
		return this.urgent.get();
	}

	/**
	 * Takes the accounts that have pressed on their limits since the last call.
	 * @return the accounts that used much of their buckets
	 */
	public List<String> takePressed() {
		List<String> taken = List.copyOf(this.pressed);
		taken.forEach(this.pressed::remove);
		return taken;
	}

	/**
	 * Takes the usage for a report. Called by one thread.
	 * @param elapsedMs the time since the last call, in milliseconds
	 * @return the usage of the accounts that were used of late
	 */
	public Map<String, Usage> report(long elapsedMs) {
		this.urgent.set(false);
		this.unreported.clear();
		double gain = 1 - Math.exp(-elapsedMs / TIME_CONSTANT_MS);
		Map<String, Usage> report = new HashMap<>();
		this.counts.forEach((account, adder) -> {
			long count = adder.sum();
			Usage before = this.reported.getOrDefault(account, Usage.NONE);
			double rate = (count - before.count()) * 1_000.0 / Math.max(1, elapsedMs);
			Usage usage = new Usage(count, before.ratePerSecond() + (rate - before.ratePerSecond()) * gain);
			this.reported.put(account, usage);
			if (usage.ratePerSecond() >= LEAST_RATE) {
				report.put(account, usage);
			}
		});
		return report;
	}

}
