package org.plantainspur.standins.target;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A value that can also be read as it was some time ago.
 *
 * @param <T> the type of the value
 */
final class LaggingValue<T> {

	private final Deque<Entry<T>> entries = new ArrayDeque<>();

	LaggingValue(T initial, long nanos) {
		this.entries.add(new Entry<>(initial, nanos));
	}

	/**
	 * Records a new value.
	 * @param value the value
	 * @param nanos the time
	 * @param keepNanos how far back reads may go
	 */
	synchronized void set(T value, long nanos, long keepNanos) {
		this.entries.addLast(new Entry<>(value, nanos));
		prune(nanos - keepNanos);
	}

	synchronized T at(long nanos) {
		T value = this.entries.getFirst().value();
		for (Entry<T> entry : this.entries) {
			if (entry.nanos() - nanos > 0) {
				break;
			}
			value = entry.value();
		}
		return value;
	}

	synchronized T newest() {
		return this.entries.getLast().value();
	}

	// Keeps the newest entry that is older than the time: it is the value then.
	private void prune(long nanos) {
		Entry<T> first = this.entries.removeFirst();
		while (!this.entries.isEmpty() && this.entries.getFirst().nanos() - nanos <= 0) {
			first = this.entries.removeFirst();
		}
		this.entries.addFirst(first);
	}

	private record Entry<T>(T value, long nanos) {
	}

}
