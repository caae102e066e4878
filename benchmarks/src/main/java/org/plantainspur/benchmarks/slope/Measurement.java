package org.plantainspur.benchmarks.slope;

import java.util.Arrays;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

/**
 * Measures the time of repeated operations and the heap size of objects.
 */
final class Measurement {

	private static final long WARM_UP_NANOS = 300_000_000;

	private static final int SAMPLES = 9;

	private static final long SAMPLE_NANOS = 40_000_000;

	// Holds a result so that it is neither optimized away nor collected.
	private static volatile @Nullable Object retainedObject;

	private Measurement() {
	}

	/**
	 * Measures the time of an operation after a warm-up.
	 * @param operation the operation; its result is stored so that it cannot be optimized
	 * away
	 * @return the median over the samples of the mean time of one run, in microseconds
	 */
	static double medianMicros(Supplier<?> operation) {
		long warmUpRuns = 0;
		long start = System.nanoTime();
		while (System.nanoTime() - start < WARM_UP_NANOS) {
			retainedObject = operation.get();
			warmUpRuns++;
		}
		long runsPerSample = Math.max(1, warmUpRuns * SAMPLE_NANOS / WARM_UP_NANOS);
		double[] samples = new double[SAMPLES];
		for (int sample = 0; sample < SAMPLES; sample++) {
			long before = System.nanoTime();
			for (long i = 0; i < runsPerSample; i++) {
				retainedObject = operation.get();
			}
			samples[sample] = (System.nanoTime() - before) / 1000.0 / runsPerSample;
		}
		retainedObject = null;
		Arrays.sort(samples);
		return samples[SAMPLES / 2];
	}

	/**
	 * Measures the heap size of the object that a supplier creates, including all objects
	 * that are reachable only from it.
	 * @param supplier creates the object; called twice
	 * @return the size in bytes
	 */
	static long retainedHeapBytes(Supplier<?> supplier) {
		// The classes and static fields that the first call initializes are not counted.
		retainedObject = supplier.get();
		retainedObject = null;
		long before = usedHeapBytes();
		retainedObject = supplier.get();
		long after = usedHeapBytes();
		retainedObject = null;
		return after - before;
	}

	private static long usedHeapBytes() {
		for (int i = 0; i < 3; i++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

}
