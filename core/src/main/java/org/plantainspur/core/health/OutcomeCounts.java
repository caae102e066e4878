package org.plantainspur.core.health;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Counts successful and failed outcomes by key. The counts are fractional, since they
 * decay.
 *
 * @param <K> the type of the key
 */
final class OutcomeCounts<K> {

	// Each value holds the number of failures and the number of all outcomes.
	private final Map<K, double[]> counts = new HashMap<>();

	private double failures;

	private double total;

	void add(K key, double failuresAdded, double successesAdded) {
		double[] count = this.counts.computeIfAbsent(key, (k) -> new double[2]);
		count[0] += failuresAdded;
		count[1] += failuresAdded + successesAdded;
		this.failures += failuresAdded;
		this.total += failuresAdded + successesAdded;
	}

	double failures() {
		return this.failures;
	}

	double total() {
		return this.total;
	}

	double failures(K key) {
		double[] count = this.counts.get(key);
		return (count != null) ? count[0] : 0;
	}

	double total(K key) {
		double[] count = this.counts.get(key);
		return (count != null) ? count[1] : 0;
	}

	/**
	 * Returns the counts by key.
	 * @return the live map; each value holds the number of failures and the number of all
	 * outcomes
	 */
	Map<K, double[]> counts() {
		return this.counts;
	}

	void clear() {
		this.counts.clear();
		this.failures = 0;
		this.total = 0;
	}

	// Keys whose decayed count is negligible are removed.
	void decay(double factor) {
		this.counts.values().removeIf((count) -> {
			count[0] *= factor;
			count[1] *= factor;
			return count[1] < 0.01;
		});
		this.failures *= factor;
		this.total *= factor;
	}

	void addAll(@Nullable OutcomeCounts<K> other) {
		if (other != null) {
			other.counts.forEach((key, count) -> add(key, count[0], count[1] - count[0]));
		}
	}

}
