package org.plantainspur.core.health;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Good and bad outcomes by key.
 *
 * @param <K> the type of the key
 */
final class Tally<K> {

	private final Map<K, double[]> counts = new HashMap<>();

	private double bad;

	private double all;

	void add(K key, double badAdded, double goodAdded) {
		double[] count = this.counts.computeIfAbsent(key, (k) -> new double[2]);
		count[0] += badAdded;
		count[1] += badAdded + goodAdded;
		this.bad += badAdded;
		this.all += badAdded + goodAdded;
	}

	double bad() {
		return this.bad;
	}

	double all() {
		return this.all;
	}

	double bad(K key) {
		double[] count = this.counts.get(key);
		return (count != null) ? count[0] : 0;
	}

	double all(K key) {
		double[] count = this.counts.get(key);
		return (count != null) ? count[1] : 0;
	}

	Map<K, double[]> counts() {
		return this.counts;
	}

	void clear() {
		this.counts.clear();
		this.bad = 0;
		this.all = 0;
	}

	// Keys that have faded away are forgotten.
	void fade(double factor) {
		this.counts.values().removeIf((count) -> {
			count[0] *= factor;
			count[1] *= factor;
			return count[1] < 0.01;
		});
		this.bad *= factor;
		this.all *= factor;
	}

	void addAll(@Nullable Tally<K> other) {
		if (other != null) {
			other.counts.forEach((key, count) -> add(key, count[0], count[1] - count[0]));
		}
	}

}
