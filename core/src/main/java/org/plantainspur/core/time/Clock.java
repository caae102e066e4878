package org.plantainspur.core.time;

/**
 * A monotonic clock in milliseconds. Readings of two processes cannot be compared.
 */
@FunctionalInterface
public interface Clock {

	/**
	 * Returns the current reading.
	 * @return milliseconds since an arbitrary origin; never decreases
	 */
	long millis();

	/**
	 * Returns a clock based on {@link System#nanoTime()}.
	 * @return the clock of this process
	 */
	static Clock system() {
		return () -> System.nanoTime() / 1_000_000;
	}

}
