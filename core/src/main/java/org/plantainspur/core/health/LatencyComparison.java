package org.plantainspur.core.health;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Compares each target's latencies with its siblings' of the same region, as seen by the
 * same group of reporters, so that the distance between regions is not taken for
 * slowness.
 */
final class LatencyComparison {

	/** Slow is two buckets, a factor of about four, above the siblings' median. */
	private static final int SLOW_BUCKETS = 2;

	/** With fewer answers of siblings there is nothing to compare with. */
	private static final double LEAST_SIBLING_ANSWERS = 20;

	private static final double PRIOR = 2;

	private final Map<Path, Histogram> paths = new HashMap<>();

	private final Map<String, Map<Path, Histogram>> targets = new HashMap<>();

	void observe(HealthJudge.Observation observation) {
		Path path = new Path(observation.group(), observation.target().region());
		Histogram all = this.paths.computeIfAbsent(path, (key) -> new Histogram());
		Histogram own = this.targets.computeIfAbsent(observation.target().id(), (id) -> new HashMap<>())
			.computeIfAbsent(path, (key) -> new Histogram());
		List<Integer> counts = observation.evidence().latencyCounts();
		for (int i = 0; i < Math.min(TargetTally.LATENCY_BUCKETS, counts.size()); i++) {
			all.add(i, Math.max(0, counts.get(i)));
			own.add(i, Math.max(0, counts.get(i)));
		}
	}

	/**
	 * Returns the log-likelihood ratio of slowness in the running interval.
	 * @param targetId the target
	 * @return by group of reporters
	 */
	Map<String, Double> ratios(String targetId) {
		Map<String, Double> ratios = new HashMap<>();
		this.targets.getOrDefault(targetId, Map.of()).forEach((path, own) -> {
			Histogram all = this.paths.get(path);
			if (all != null && own.intervalCount() > 0) {
				double ratio = ratio(own, all);
				if (ratio != 0) {
					ratios.merge(path.group(), ratio, Double::sum);
				}
			}
		});
		return ratios;
	}

	private static double ratio(Histogram own, Histogram all) {
		double siblings = all.count() - own.count();
		if (siblings < LEAST_SIBLING_ANSWERS) {
			return 0;
		}
		int cutoff = siblingMedian(own, all, siblings) + SLOW_BUCKETS;
		double slow = own.intervalAbove(cutoff);
		double rate = Math.max(rate(all.above(cutoff) - own.above(cutoff), siblings),
				rate(all.intervalAbove(cutoff) - own.intervalAbove(cutoff), all.intervalCount() - own.intervalCount()));
		return LogLikelihood.ratio(slow, own.intervalCount() - slow, rate, LogLikelihood.sickRate(rate));
	}

	private static double rate(double slow, double count) {
		return LogLikelihood
			.clamp((Math.max(0, slow) + LogLikelihood.LEAST_RATE * PRIOR) / (Math.max(0, count) + PRIOR));
	}

	private static int siblingMedian(Histogram own, Histogram all, double siblings) {
		double below = 0;
		for (int i = 0; i < TargetTally.LATENCY_BUCKETS; i++) {
			below += all.at(i) - own.at(i);
			if (below * 2 >= siblings) {
				return i;
			}
		}
		return TargetTally.LATENCY_BUCKETS - 1;
	}

	void finishInterval(double fade) {
		this.paths.values().forEach((histogram) -> histogram.finishInterval(fade));
		this.targets.values().forEach((own) -> own.values().forEach((histogram) -> histogram.finishInterval(fade)));
	}

	void retain(Collection<String> targetIds) {
		this.targets.keySet().retainAll(targetIds);
	}

	private record Path(String group, String region) {
	}

	private static final class Histogram {

		private final double[] memory = new double[TargetTally.LATENCY_BUCKETS];

		private final double[] interval = new double[TargetTally.LATENCY_BUCKETS];

		private double memoryCount;

		private double intervalCount;

		void add(int bucket, int count) {
			this.interval[bucket] += count;
			this.intervalCount += count;
		}

		double at(int bucket) {
			return this.memory[bucket] + this.interval[bucket];
		}

		double count() {
			return this.memoryCount + this.intervalCount;
		}

		double intervalCount() {
			return this.intervalCount;
		}

		double above(int bucket) {
			double sum = 0;
			for (int i = bucket + 1; i < this.memory.length; i++) {
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

		void finishInterval(double fade) {
			this.memoryCount = 0;
			for (int i = 0; i < this.memory.length; i++) {
				this.memory[i] = at(i) * fade;
				this.interval[i] = 0;
				this.memoryCount += this.memory[i];
			}
			this.intervalCount = 0;
		}

	}

}
