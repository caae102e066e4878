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
 * Counts the requests that this host admits for each account. Any thread may record a
 * request; one thread takes the reports.
 */
public final class UsageMeter {

	/**
	 * Time constant of the average rate: it follows a change within a second and smooths
	 * the gaps between requests.
	 */
	private static final double TIME_CONSTANT_MS = 600;

	/**
	 * This many requests of an account since the last report make the next report urgent.
	 */
	static final int URGENT_REQUESTS = 4;

	/**
	 * An account is left out of a report if its average rate per second is below this.
	 */
	private static final double MIN_REPORTED_RATE = 0.01;

	private final ConcurrentMap<String, LongAdder> counts = new ConcurrentHashMap<>();

	private final Map<String, AccountUsage> lastReported = new HashMap<>();

	private final ConcurrentMap<String, LongAdder> unreported = new ConcurrentHashMap<>();

	private final AtomicBoolean reportUrgent = new AtomicBoolean();

	private final Set<String> nearLimit = ConcurrentHashMap.newKeySet();

	/**
	 * Records a request that was admitted.
	 * @param account the account's name
	 * @param nearLimit whether the account is near its limit, so that the other hosts
	 * should know soon
	 */
	public void recordAdmitted(String account, boolean nearLimit) {
		this.counts.computeIfAbsent(account, (name) -> new LongAdder()).increment();
		LongAdder sinceReport = this.unreported.computeIfAbsent(account, (name) -> new LongAdder());
		sinceReport.increment();
		if (nearLimit) {
			this.nearLimit.add(account);
		}
		if (nearLimit || sinceReport.sum() >= URGENT_REQUESTS) {
			this.reportUrgent.set(true);
		}
	}

	/**
	 * Returns whether the usage should be reported to the other hosts now.
	 * @return {@code true} once an account is near its limit or has used much since the
	 * last report
	 */
	public boolean isReportUrgent() {
		return this.reportUrgent.get();
	}

	/**
	 * Takes the accounts that came near their limit since the last call.
	 * @return the accounts' names
	 */
	public List<String> takeNearLimit() {
		List<String> taken = List.copyOf(this.nearLimit);
		taken.forEach(this.nearLimit::remove);
		return taken;
	}

	/**
	 * Computes the usage for a report and starts the next interval. Called by one thread.
	 * @param elapsedMs the time since the last call, in milliseconds
	 * @return the usage by the name of each account that was used recently
	 */
	public Map<String, AccountUsage> takeReport(long elapsedMs) {
		this.reportUrgent.set(false);
		this.unreported.clear();
		double gain = 1 - Math.exp(-elapsedMs / TIME_CONSTANT_MS);
		Map<String, AccountUsage> report = new HashMap<>();
		this.counts.forEach((account, adder) -> {
			long count = adder.sum();
			AccountUsage previous = this.lastReported.getOrDefault(account, AccountUsage.NONE);
			double rate = (count - previous.count()) * 1_000.0 / Math.max(1, elapsedMs);
			AccountUsage usage = new AccountUsage(count,
					previous.ratePerSecond() + (rate - previous.ratePerSecond()) * gain);
			this.lastReported.put(account, usage);
			if (usage.ratePerSecond() >= MIN_REPORTED_RATE) {
				report.put(account, usage);
			}
		});
		return report;
	}

}
