package org.plantainspur.core.health;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares each target's latencies with those of its siblings in the same region, as seen
 * from the same failure domain, so that the distance between regions does not count as
 * slowness.
 */
final class LatencyComparison {

	/**
	 * An answer is slow if it lies more than this many buckets above the siblings'
	 * median. Two buckets are a factor of about four.
	 */
	private static final int SLOW_BUCKETS = 2;

	/**
	 * The minimum number of the siblings' answers for a comparison. With fewer, the
	 * target's latencies are not evidence.
	 */
	private static final double MIN_SIBLING_ANSWERS = 20;

	/**
	 * The number of assumed answers, slow at the minimum rate, that are added to the
	 * siblings' own, so that a few answers do not decide the rate.
	 */
	private static final double PRIOR_ANSWERS = 2;

	// The latencies of all targets together.
	private final Map<Path, Histogram> paths = new HashMap<>();

	// The latencies of each target, by its id.
	private final Map<String, Map<Path, Histogram>> targets = new HashMap<>();

	void observe(OutlierDetector.Observation observation) {
		Path path = new Path(observation.reporterDomain(), observation.target().region());
		Histogram all = this.paths.computeIfAbsent(path, (key) -> new Histogram());
		Histogram own = this.targets.computeIfAbsent(observation.target().id(), (id) -> new HashMap<>())
			.computeIfAbsent(path, (key) -> new Histogram());
		List<Integer> counts = observation.evidence().latencyCounts();
		for (int i = 0; i < Math.min(TargetOutcomeCounter.LATENCY_BUCKETS, counts.size()); i++) {
			all.add(i, Math.max(0, counts.get(i)));
			own.add(i, Math.max(0, counts.get(i)));
		}
	}

	/**
	 * Returns the log-likelihood ratio of slow answers in the current interval.
	 * @param targetId the target's id
	 * @return the ratio by the reporters' failure domain; a domain without evidence has
	 * no entry
	 */
	Map<String, Double> ratios(String targetId) {
		Map<String, Double> ratios = new HashMap<>();
		this.targets.getOrDefault(targetId, Map.of()).forEach((path, own) -> {
			Histogram all = this.paths.get(path);
			if (all != null && own.intervalCount() > 0) {
				double ratio = ratio(own, all);
				if (ratio != 0) {
					ratios.merge(path.reporterDomain(), ratio, Double::sum);
				}
			}
		});
		return ratios;
	}

	private static double ratio(Histogram own, Histogram all) {
		double siblings = all.count() - own.count();
		if (siblings < MIN_SIBLING_ANSWERS) {
			return 0;
		}
		int cutoff = siblingMedian(own, all, siblings) + SLOW_BUCKETS;
		double slow = own.intervalAbove(cutoff);
		double rate = Math.max(rate(all.above(cutoff) - own.above(cutoff), siblings),
				rate(all.intervalAbove(cutoff) - own.intervalAbove(cutoff), all.intervalCount() - own.intervalCount()));
		return LogLikelihood.ratio(slow, own.intervalCount() - slow, rate, LogLikelihood.unhealthyRate(rate));
	}

	private static double rate(double slow, double count) {
		return LogLikelihood
			.clamp((Math.max(0, slow) + LogLikelihood.MIN_RATE * PRIOR_ANSWERS) / (Math.max(0, count) + PRIOR_ANSWERS));
	}

	private static int siblingMedian(Histogram own, Histogram all, double siblings) {
		double below = 0;
		for (int i = 0; i < TargetOutcomeCounter.LATENCY_BUCKETS; i++) {
			below += all.at(i) - own.at(i);
			if (below * 2 >= siblings) {
				return i;
			}
		}
		return TargetOutcomeCounter.LATENCY_BUCKETS - 1;
	}

	void finishInterval(double decay) {
		this.paths.values().forEach((histogram) -> histogram.finishInterval(decay));
		this.targets.values().forEach((own) -> own.values().forEach((histogram) -> histogram.finishInterval(decay)));
	}

	void retain(Collection<String> targetIds) {
		this.targets.keySet().retainAll(targetIds);
	}

	private record Path(String reporterDomain, String region) {
	}

	private static final class Histogram {

		private final double[] history = new double[TargetOutcomeCounter.LATENCY_BUCKETS];

		private final double[] interval = new double[TargetOutcomeCounter.LATENCY_BUCKETS];

		private double historyCount;

		private double intervalCount;

		void add(int bucket, int count) {
			this.interval[bucket] += count;
			this.intervalCount += count;
		}

		double at(int bucket) {
			return this.history[bucket] + this.interval[bucket];
		}

		double count() {
			return this.historyCount + this.intervalCount;
		}

		double intervalCount() {
			return this.intervalCount;
		}

		double above(int bucket) {
			double sum = 0;
			for (int i = bucket + 1; i < this.history.length; i++) {
				sum += at(i);
			}
			return sum;
		}

		double intervalAbove(int bucket) {
			double sum = 0;
			for (int i = bucket + 1; i < this.interval.length; i++) {
				sum += this.interval[i];
			}
			return sum;
		}

		void finishInterval(double decay) {
			this.historyCount = 0;
			for (int i = 0; i < this.history.length; i++) {
				this.history[i] = at(i) * decay;
				this.interval[i] = 0;
				this.historyCount += this.history[i];
			}
			this.intervalCount = 0;
		}

	}

}
