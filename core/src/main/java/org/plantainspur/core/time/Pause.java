package org.plantainspur.core.time;

/**
 * Suspends the calling thread without using the processor.
 */
@FunctionalInterface
public interface Pause {

	/**
	 * Suspends the calling thread for a time. May return early, for example when the
	 * thread is interrupted.
	 * @param millis the time to wait in milliseconds
	 */
	void pause(long millis);

	/**
	 * Returns a pause that parks the calling thread.
	 * @return a pause based on {@link java.util.concurrent.locks.LockSupport}
	 */
	static Pause system() {
		return (millis) -> java.util.concurrent.locks.LockSupport.parkNanos(millis * 1_000_000);
	}

}
