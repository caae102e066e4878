package org.plantainspur.standins.target;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A value with its recent history, so that it can be read as it was some time ago.
 *
 * @param <T> the type of the value
 */
final class ValueHistory<T> {

	private final Deque<Entry<T>> entries = new ArrayDeque<>();

	ValueHistory(T initial, long nanos) {
		this.entries.add(new Entry<>(initial, nanos));
	}

	/**
	 * Sets a new value and discards history that is no longer needed.
	 * @param value the new value
	 * @param nanos the time of the change, as of {@link System#nanoTime()}
	 * @param keepNanos how far back from that time the history must reach
	 */
	synchronized void set(T value, long nanos, long keepNanos) {
		this.entries.addLast(new Entry<>(value, nanos));
		prune(nanos - keepNanos);
	}

	/**
	 * Returns the value at a time.
	 * @param nanos the time, as of {@link System#nanoTime()}
	 * @return the value, or the oldest one that is kept if the time is earlier
	 */
	synchronized T valueAt(long nanos) {
		T value = this.entries.getFirst().value();
		for (Entry<T> entry : this.entries) {
			if (entry.nanos() - nanos > 0) {
				break;
			}
			value = entry.value();
		}
		return value;
	}

	synchronized T newestValue() {
		return this.entries.getLast().value();
	}

	// Removes the entries that reads from the given time on do not need. The newest entry
	// up to that time stays, because it holds the value at that time.
	private void prune(long nanos) {
		Entry<T> oldestKept = this.entries.removeFirst();
		while (!this.entries.isEmpty() && this.entries.getFirst().nanos() - nanos <= 0) {
			oldestKept = this.entries.removeFirst();
		}
		this.entries.addFirst(oldestKept);
	}

	private record Entry<T>(T value, long nanos) {
	}

}
