package org.plantainspur.core.rate;

import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Delivers messages between simulated hosts with random delays and losses, except on
 * links that are cut in one direction.
 */
final class SimulatedNetwork {

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Set<String> cuts = new HashSet<>();

	private final int minDelayMillis;

	private final int maxDelayMillis;

	private final double lossProbability;

	private long now;

	private long nextNumber;

	private long borrowMessages;

	SimulatedNetwork(Random random, int minDelayMillis, int maxDelayMillis, double lossProbability) {
		this.random = random;
		this.minDelayMillis = minDelayMillis;
		this.maxDelayMillis = maxDelayMillis;
		this.lossProbability = lossProbability;
	}

	long borrowMessages() {
		return this.borrowMessages;
	}

	void countBorrowMessage() {
		this.borrowMessages++;
	}

	long now() {
		return this.now;
	}

	void send(String from, String to, Runnable arrival) {
		if (this.cuts.contains(from + ">" + to) || this.random.nextDouble() < this.lossProbability) {
			return;
		}
		long delay = this.minDelayMillis + this.random.nextInt(this.maxDelayMillis - this.minDelayMillis + 1);
		this.events.add(new Event(this.now + delay, this.nextNumber++, arrival));
	}

	void cut(String from, String to, boolean cut) {
		if (cut) {
			this.cuts.add(from + ">" + to);
		}
		else {
			this.cuts.remove(from + ">" + to);
		}
	}

	void removeCuts() {
		this.cuts.clear();
	}

	void tick() {
		this.now++;
		while (!this.events.isEmpty() && this.events.peek().atMillis() <= this.now) {
			this.events.poll().arrival().run();
		}
	}

	private record Event(long atMillis, long number, Runnable arrival) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.atMillis, other.atMillis);
			return (byTime != 0) ? byTime : Long.compare(this.number, other.number);
		}

	}

}
