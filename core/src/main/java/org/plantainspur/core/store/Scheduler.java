package org.plantainspur.core.store;

/**
 * Runs tasks later, one after another.
 */
@FunctionalInterface
public interface Scheduler {

	/**
	 * Runs a task once.
	 * @param delayMs the delay in milliseconds
	 * @param task the task
	 */
	void after(long delayMs, Runnable task);

}
