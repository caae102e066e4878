package org.plantainspur.core.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.configuration.ClientAccount;

/**
 * The order in which waiting requests are served: start-time fair queueing, so that each
 * account that waits is served in proportion to its rate, whatever the others send. Not
 * thread-safe.
 *
 * @param <E> what waits
 */
public final class FairOrder<E> {

	/** An account cannot fill the memory, nor hold more of the host's threads. */
	static final int MAX_PER_ACCOUNT = 64;

	/** Larger rates mean "no limit", as for open routes, and get the weight of 1/s. */
	private static final double NO_RATE = 1_000_000;

	private static final double LEAST_RATE = 0.01;

	private static final double LARGEST_CREDIT = 2;

	private final TreeSet<Ticket<E>> tickets = new TreeSet<>(
			Comparator.comparingDouble((Ticket<E> ticket) -> ticket.start()).thenComparing(Ticket::number));

	private final Map<String, Lane> lanes = new HashMap<>();

	private double virtualTime;

	private long numbers;

	/**
	 * Adds an element.
	 * @param account the account that it is for
	 * @param element the element
	 * @return its place, or {@code null} if the account has too many waiting
	 */
	public @Nullable Ticket<E> add(ClientAccount account, E element) {
		Lane lane = this.lanes.computeIfAbsent(account.id(), (id) -> new Lane());
		if (lane.waiting >= MAX_PER_ACCOUNT) {
			return null;
		}
		double start = Math.max(this.virtualTime - credit(account), lane.lastFinish);
		lane.lastFinish = start + 1 / weight(account);
		lane.waiting++;
		Ticket<E> ticket = new Ticket<>(account.id(), start, this.numbers++, element);
		this.tickets.add(ticket);
		return ticket;
	}

	// An account that sent less than its rate is ahead by at most its burst; without
	// this,
	// a small account near its rate queues behind itself.
	private static double credit(ClientAccount account) {
		return (account.ratePerSecond() < NO_RATE) ? Math.min(LARGEST_CREDIT, account.burst() / weight(account)) : 0;
	}

	private static double weight(ClientAccount account) {
		double rate = account.ratePerSecond();
		return (rate < NO_RATE) ? Math.max(LEAST_RATE, rate) : 1;
	}

	/**
	 * Removes the element whose turn it is.
	 * @return the element, or {@code null} if none waits
	 */
	public @Nullable E next() {
		Ticket<E> first = this.tickets.pollFirst();
		if (first == null) {
			return null;
		}
		this.virtualTime = Math.max(this.virtualTime, first.start());
		left(first);
		return first.element();
	}

	void remove(Ticket<E> ticket) {
		if (this.tickets.remove(ticket)) {
			left(ticket);
		}
	}

	private void left(Ticket<E> ticket) {
		Lane lane = this.lanes.get(ticket.account());
		if (lane != null) {
			lane.waiting--;
		}
		if (this.tickets.isEmpty()) {
			this.lanes.clear();
			this.virtualTime = 0;
		}
	}

	int ahead(Ticket<E> ticket) {
		return this.tickets.headSet(ticket).size();
	}

	int size() {
		return this.tickets.size();
	}

	/**
	 * A place in the order.
	 *
	 * @param account the account's name
	 * @param start the virtual time at which it is served
	 * @param number breaks ties by arrival
	 * @param element what waits
	 */
	public record Ticket<E>(String account, double start, long number, E element) {
	}

	private static final class Lane {

		private double lastFinish;

		private int waiting;

	}

}
