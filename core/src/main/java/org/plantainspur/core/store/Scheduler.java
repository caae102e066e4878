package org.plantainspur.core.store;

/**
 * Runs delayed tasks, one at a time.
 */
@FunctionalInterface
public interface Scheduler {

	/**
	 * Runs a task once after a delay. Returns immediately.
	 * @param delayMs the delay in milliseconds
	 * @param task the task to run
	 */
	void after(long delayMs, Runnable task);

}
