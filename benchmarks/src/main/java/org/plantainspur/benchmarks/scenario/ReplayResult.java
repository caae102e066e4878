package org.plantainspur.benchmarks.scenario;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The measurements of one or several replays of a scenario.
 */
public final class ReplayResult {

	private final List<Long> detectionTimesMillis = new ArrayList<>();

	// The served and all requests by account id.
	private final Map<String, long[]> requestCounts = new TreeMap<>();

	private int undetectedFaults;

	private int falseEjections;

	private int ejections;

	private final Set<Integer> crashedTargets = new HashSet<>();

	private int crashedTargetCount;

	private long reports;

	private long reportRequests;

	// NaN if it is computed from the request counts.
	private double worstServedShare = Double.NaN;

	void recordDetection(long millis) {
		this.detectionTimesMillis.add(millis);
	}

	void recordUndetected() {
		this.undetectedFaults++;
	}

	void recordReport() {
		this.reports++;
	}

	void recordReportRequest() {
		this.reportRequests++;
	}

	void recordEjection(boolean falseEjection) {
		this.ejections++;
		this.falseEjections += falseEjection ? 1 : 0;
	}

	// Counts each crashed target once, however often it crashes (design page, 4.5).
	void recordCrash(int target) {
		this.crashedTargets.add(target);
		this.crashedTargetCount = this.crashedTargets.size();
	}

	void recordRequest(String account, boolean served) {
		long[] counts = this.requestCounts.computeIfAbsent(account, (id) -> new long[2]);
		counts[0] += served ? 1 : 0;
		counts[1]++;
	}

	void setWorstServedShare(double share) {
		this.worstServedShare = share;
	}

	void add(ReplayResult other) {
		this.detectionTimesMillis.addAll(other.detectionTimesMillis);
		this.undetectedFaults += other.undetectedFaults;
		this.falseEjections += other.falseEjections;
		this.ejections += other.ejections;
		this.reports += other.reports;
		this.reportRequests += other.reportRequests;
		this.crashedTargetCount = Math.max(this.crashedTargetCount, other.crashedTargetCount);
		this.worstServedShare = Double.isNaN(this.worstServedShare) ? other.worstServedShare()
				: Math.min(this.worstServedShare, other.worstServedShare());
	}

	/**
	 * Returns a quantile of the detection times: from the start of a fault until more
	 * than half of the hosts eject the target. Faults that were not detected count as
	 * infinite.
	 * @param quantile the quantile, 0 to 1
	 * @return the time in milliseconds, or NaN if there was no fault to detect
	 */
	public double detectionMillis(double quantile) {
		int count = this.detectionTimesMillis.size() + this.undetectedFaults;
		if (count == 0) {
			return Double.NaN;
		}
		int index = Math.min(count - 1, (int) (quantile * count));
		return (index < this.detectionTimesMillis.size())
				? this.detectionTimesMillis.stream().sorted().skip(index).findFirst().orElse(0L)
				: Double.POSITIVE_INFINITY;
	}

	/**
	 * Returns the number of ejections of targets that had no fault of the kind
	 * {@code gray} at that time or up to 5 s before.
	 * @return the number of false ejections
	 */
	public int falseEjections() {
		return this.falseEjections;
	}

	/**
	 * Returns the smallest fraction of its entitlement that an account got. An account is
	 * entitled to all its requests unless the replay set the share itself.
	 * @return the fraction, 0 to 1; 1 if no request was recorded
	 */
	public double worstServedShare() {
		if (!Double.isNaN(this.worstServedShare)) {
			return this.worstServedShare;
		}
		return this.requestCounts.values()
			.stream()
			.mapToDouble((counts) -> counts[0] / (double) counts[1])
			.min()
			.orElse(1);
	}

	private double measuredValue(String bound) {
		return switch (bound) {
			case "detection-median-millis" -> detectionMillis(0.5);
			case "detection-p99-millis" -> detectionMillis(0.99);
			case "false-ejections" -> this.falseEjections;
			case "worst-served-share" -> worstServedShare();
			case "crashes" -> this.crashedTargetCount;
			default -> throw new IllegalArgumentException(
					"no measurement is named '" + bound + "'; see ReplayResult.measuredValue for the names");
		};
	}

	/**
	 * Compares the measurements with expected bounds.
	 * @param expected the bounds by name; a name ends with {@code -at-most} or {@code
	 * -at-least}
	 * @return one text for each bound that is not met, with the measured value
	 */
	public List<String> unmetBounds(Map<String, Double> expected) {
		List<String> unmetBounds = new ArrayList<>();
		expected.forEach((name, bound) -> {
			boolean atMost = name.endsWith("-at-most");
			double measuredValue = measuredValue(name.replace("-at-most", "").replace("-at-least", ""));
			if (!(atMost ? measuredValue <= bound : measuredValue >= bound)) {
				unmetBounds.add(name + " " + bound + ", measured " + measuredValue);
			}
		});
		return unmetBounds;
	}

	@Override
	public String toString() {
		return String.format(
				"detection p50 %.0f ms p99 %.0f ms (%d of %d), ejections %d, false %d, worst-served share %.4f, crashes %d, reports %d, report requests %d",
				detectionMillis(0.5), detectionMillis(0.99), this.detectionTimesMillis.size(),
				this.detectionTimesMillis.size() + this.undetectedFaults, this.ejections, this.falseEjections,
				worstServedShare(), this.crashedTargetCount, this.reports, this.reportRequests);
	}

}
