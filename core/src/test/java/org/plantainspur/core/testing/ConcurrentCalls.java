package org.plantainspur.core.testing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Runs the same work concurrently on several threads.
 */
public final class ConcurrentCalls {

	private ConcurrentCalls() {
	}

	/**
	 * Runs the work once on each thread and waits for all.
	 * @param <T> the type of a result
	 * @param threads the number of threads
	 * @param work the work, called once on each thread
	 * @return the results, one for each thread
	 * @throws Exception if the work fails on any thread
	 */
	public static <T> List<T> onEachThread(int threads, Callable<T> work) throws Exception {
		ExecutorService executor = Executors.newFixedThreadPool(threads);
		try {
			List<T> results = new ArrayList<>();
			for (Future<T> done : executor.invokeAll(Collections.nCopies(threads, work))) {
				results.add(done.get());
			}
			return results;
		}
		finally {
			executor.shutdownNow();
		}
	}

}
