package org.plantainspur.core.time;

/**
 * Waits without using the processor.
 */
@FunctionalInterface
public interface Pause {

	/**
	 * Waits.
	 * @param millis the time to wait in milliseconds
	 */
	void pause(long millis);

	/**
	 * Returns a pause that parks the calling thread.
	 * @return the pause of this process
	 */
	static Pause system() {
		return (millis) -> java.util.concurrent.locks.LockSupport.parkNanos(millis * 1_000_000);
	}

}
