package org.plantainspur.standins.platform;

import java.util.ArrayDeque;
import java.util.Deque;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The list of live and leaving hosts. A new list becomes visible after a delay, as on a
 * platform whose host list lags behind.
 */
final class LaggingHostList {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Deque<Pending> pending = new ArrayDeque<>();

	private JsonNode visible;

	LaggingHostList(JsonNode initial) {
		this.visible = initial;
	}

	synchronized void put(JsonNode list, long nowNanos, long lagMillis) {
		this.pending.addLast(new Pending(list, nowNanos + lagMillis * NANOS_PER_MILLI));
	}

	synchronized JsonNode visible(long nowNanos) {
		while (!this.pending.isEmpty() && this.pending.getFirst().visibleAtNanos() - nowNanos <= 0) {
			this.visible = this.pending.removeFirst().list();
		}
		return this.visible;
	}

	private record Pending(JsonNode list, long visibleAtNanos) {
	}

}
