package org.plantainspur.benchmarks.slope;

import java.util.Arrays;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

/**
 * Times repeated work and weighs what is kept on the heap.
 */
final class Stopwatch {

	private static final long WARM_UP_NANOS = 300_000_000;

	private static final int SAMPLES = 9;

	private static final long SAMPLE_NANOS = 40_000_000;

	private static volatile @Nullable Object kept;

	private Stopwatch() {
	}

	/**
	 * Times some work after warm-up.
	 * @param work the work; its result is kept so that it cannot be optimized away
	 * @return the median over samples of the mean time, in microseconds
	 */
	static double micros(Supplier<?> work) {
		long runs = 0;
		long start = System.nanoTime();
		while (System.nanoTime() - start < WARM_UP_NANOS) {
			kept = work.get();
			runs++;
		}
		long perSample = Math.max(1, runs * SAMPLE_NANOS / WARM_UP_NANOS);
		double[] samples = new double[SAMPLES];
		for (int sample = 0; sample < SAMPLES; sample++) {
			long before = System.nanoTime();
			for (long i = 0; i < perSample; i++) {
				kept = work.get();
			}
			samples[sample] = (System.nanoTime() - before) / 1000.0 / perSample;
		}
		kept = null;
		Arrays.sort(samples);
		return samples[SAMPLES / 2];
	}

	/**
	 * Weighs what a supplier returns.
	 * @param supplier builds the objects
	 * @return the bytes that stay on the heap
	 */
	static long heapBytes(Supplier<?> supplier) {
		kept = supplier.get();
		kept = null;
		long before = used();
		kept = supplier.get();
		long after = used();
		kept = null;
		return after - before;
	}

	private static long used() {
		for (int i = 0; i < 3; i++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

}
