package org.plantainspur.core.rate;

import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Carries messages between simulated hosts with random delays, losses and one-way cuts.
 */
final class SimulatedNetwork {

	private final Random random;

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Set<String> cuts = new HashSet<>();

	private final int shortestDelay;

	private final int longestDelay;

	private final double loss;

	private long now;

	private long count;

	SimulatedNetwork(Random random, int shortestDelay, int longestDelay, double loss) {
		this.random = random;
		this.shortestDelay = shortestDelay;
		this.longestDelay = longestDelay;
		this.loss = loss;
	}

	long now() {
		return this.now;
	}

	void send(String from, String to, Runnable arrival) {
		if (this.cuts.contains(from + ">" + to) || this.random.nextDouble() < this.loss) {
			return;
		}
		long delay = this.shortestDelay + this.random.nextInt(this.longestDelay - this.shortestDelay + 1);
		this.events.add(new Event(this.now + delay, this.count++, arrival));
	}

	void cut(String from, String to, boolean cut) {
		if (cut) {
			this.cuts.add(from + ">" + to);
		}
		else {
			this.cuts.remove(from + ">" + to);
		}
	}

	boolean isCut(String from, String to) {
		return this.cuts.contains(from + ">" + to);
	}

	void heal() {
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
