package org.plantainspur.benchmarks.scenario;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What a replay measured.
 */
public final class Measures {

	private final List<Long> detections = new ArrayList<>();

	private final Map<String, long[]> accounts = new TreeMap<>();

	private int undetected;

	private int falseEjections;

	private int ejections;

	private final Set<Integer> crashed = new HashSet<>();

	private int crashes;

	private long reports;

	private long reportRequests;

	private double worstShare = Double.NaN;

	void detected(long millis) {
		this.detections.add(millis);
	}

	void undetected() {
		this.undetected++;
	}

	void reported() {
		this.reports++;
	}

	void requestedReport() {
		this.reportRequests++;
	}

	void ejected(boolean falsely) {
		this.ejections++;
		this.falseEjections += falsely ? 1 : 0;
	}

	// Design page, 4.5: the number of targets counts, not how often one of them crashes.
	void crashed(int target) {
		this.crashed.add(target);
		this.crashes = this.crashed.size();
	}

	void request(String account, boolean served) {
		long[] counts = this.accounts.computeIfAbsent(account, (id) -> new long[2]);
		counts[0] += served ? 1 : 0;
		counts[1]++;
	}

	void worstShare(double share) {
		this.worstShare = share;
	}

	void add(Measures other) {
		this.detections.addAll(other.detections);
		this.undetected += other.undetected;
		this.falseEjections += other.falseEjections;
		this.ejections += other.ejections;
		this.reports += other.reports;
		this.reportRequests += other.reportRequests;
		this.crashes = Math.max(this.crashes, other.crashes);
		this.worstShare = Double.isNaN(this.worstShare) ? other.worstServedShare()
				: Math.min(this.worstShare, other.worstServedShare());
	}

	/**
	 * Returns a quantile of the times from a fault's start until more than half of the
	 * hosts held the ejection; faults that were not detected count as infinite.
	 * @param quantile 0 to 1
	 * @return milliseconds, or NaN if there was no fault to detect
	 */
	public double detectionMillis(double quantile) {
		int count = this.detections.size() + this.undetected;
		if (count == 0) {
			return Double.NaN;
		}
		int index = Math.min(count - 1, (int) (quantile * count));
		return (index < this.detections.size()) ? this.detections.stream().sorted().skip(index).findFirst().orElse(0L)
				: Double.POSITIVE_INFINITY;
	}

	/**
	 * Returns the ejections of targets without a fault.
	 * @return the number
	 */
	public int falseEjections() {
		return this.falseEjections;
	}

	/**
	 * Returns the part of the worst-served account's entitlement that was served.
	 * @return 0 to 1
	 */
	public double worstServedShare() {
		if (!Double.isNaN(this.worstShare)) {
			return this.worstShare;
		}
		return this.accounts.values().stream().mapToDouble((counts) -> counts[0] / (double) counts[1]).min().orElse(1);
	}

	private double value(String bound) {
		return switch (bound) {
			case "detection-median-millis" -> detectionMillis(0.5);
			case "detection-p99-millis" -> detectionMillis(0.99);
			case "false-ejections" -> this.falseEjections;
			case "worst-served-share" -> worstServedShare();
			case "crashes" -> this.crashes;
			default -> throw new IllegalArgumentException("no measure '" + bound + "'; see Measures.value");
		};
	}

	/**
	 * Compares with the expected outcome.
	 * @param expected the bounds by name
	 * @return the bounds that are not met, with the measured values; empty if all are met
	 */
	public List<String> missed(Map<String, Double> expected) {
		List<String> missed = new ArrayList<>();
		expected.forEach((name, bound) -> {
			boolean atMost = name.endsWith("-at-most");
			double value = value(name.replace("-at-most", "").replace("-at-least", ""));
			if (!(atMost ? value <= bound : value >= bound)) {
				missed.add(name + " " + bound + ", measured " + value);
			}
		});
		return missed;
	}

	@Override
	public String toString() {
		return String.format(
				"detection p50 %.0f ms p99 %.0f ms (%d of %d), ejections %d, false %d, worst-served share %.4f, crashes %d, reports %d, report requests %d",
				detectionMillis(0.5), detectionMillis(0.99), this.detections.size(),
				this.detections.size() + this.undetected, this.ejections, this.falseEjections, worstServedShare(),
				this.crashes, this.reports, this.reportRequests);
	}

}
