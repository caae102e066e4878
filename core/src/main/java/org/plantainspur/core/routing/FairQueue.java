package org.plantainspur.core.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.configuration.ClientAccount;

/**
 * A queue of waiting requests with start-time fair queueing: each account that waits is
 * served in proportion to its rate, however many requests the others send. Not
 * thread-safe.
 *
 * @param <E> the type of the waiting elements
 */
public final class FairQueue<E> {

	/**
	 * The maximum number of waiting elements of one account, so that no account fills the
	 * memory or blocks more than this many of the host's threads.
	 */
	static final int MAX_PER_ACCOUNT = 64;

	/**
	 * An account with at least this rate counts as unlimited, as on open routes. It is
	 * weighted like a rate of 1/s, so that it does not displace accounts with a limit.
	 */
	private static final double UNLIMITED_RATE_PER_SECOND = 1_000_000;

	/**
	 * The weight of accounts with a lower rate, so that the weight is never 0 and one
	 * request delays the next by at most 100 s of virtual time.
	 */
	private static final double MIN_RATE_PER_SECOND = 0.01;

	/**
	 * Limits how far before the virtual time the requests of an account with a large
	 * burst may start.
	 */
	private static final double MAX_CREDIT_SECONDS = 2;

	private final TreeSet<Ticket<E>> tickets = new TreeSet<>(
			Comparator.comparingDouble((Ticket<E> ticket) -> ticket.start()).thenComparing(Ticket::number));

	private final Map<String, Flow> flows = new HashMap<>();

	/**
	 * The latest virtual start time of a served element, in seconds. Each element takes
	 * up the reciprocal of its account's rate.
	 */
	private double virtualTime;

	private long nextNumber;

	/**
	 * Adds an element.
	 * @param account the account to which the element belongs
	 * @param element the element to queue
	 * @return its ticket, or {@code null} if {@link #MAX_PER_ACCOUNT} elements of the
	 * account wait already
	 */
	public @Nullable Ticket<E> add(ClientAccount account, E element) {
		Flow flow = this.flows.computeIfAbsent(account.id(), (id) -> new Flow());
		if (flow.waiting >= MAX_PER_ACCOUNT) {
			return null;
		}
		double start = Math.max(this.virtualTime - credit(account), flow.lastFinish);
		flow.lastFinish = start + 1 / weight(account);
		flow.waiting++;
		Ticket<E> ticket = new Ticket<>(account.id(), start, this.nextNumber++, element);
		this.tickets.add(ticket);
		return ticket;
	}

	// An account that sent less than its rate may start before the virtual time, by at
	// most the time in which it gains its burst. Without this credit, the requests of a
	// small account near its rate queue behind each other.
	private static double credit(ClientAccount account) {
		return (account.ratePerSecond() < UNLIMITED_RATE_PER_SECOND)
				? Math.min(MAX_CREDIT_SECONDS, account.burst() / weight(account)) : 0;
	}

	private static double weight(ClientAccount account) {
		double rate = account.ratePerSecond();
		return (rate < UNLIMITED_RATE_PER_SECOND) ? Math.max(MIN_RATE_PER_SECOND, rate) : 1;
	}

	/**
	 * Removes the element that is served next.
	 * @return the removed element, or {@code null} if the queue is empty
	 */
	public @Nullable E poll() {
		Ticket<E> first = this.tickets.pollFirst();
		if (first == null) {
			return null;
		}
		this.virtualTime = Math.max(this.virtualTime, first.start());
		removed(first);
		return first.element();
	}

	void remove(Ticket<E> ticket) {
		if (this.tickets.remove(ticket)) {
			removed(ticket);
		}
	}

	private void removed(Ticket<E> ticket) {
		Flow flow = this.flows.get(ticket.account());
		if (flow != null) {
			flow.waiting--;
		}
		if (this.tickets.isEmpty()) {
			this.flows.clear();
			this.virtualTime = 0;
		}
	}

	int countAhead(Ticket<E> ticket) {
		return this.tickets.headSet(ticket).size();
	}

	int size() {
		return this.tickets.size();
	}

	/**
	 * The position of an element in the queue.
	 *
	 * @param account the id of the element's account
	 * @param start the virtual start time, which orders the queue
	 * @param number the order of arrival, which breaks ties
	 * @param element the waiting element
	 */
	public record Ticket<E>(String account, double start, long number, E element) {
	}

	private static final class Flow {

		private double lastFinish;

		private int waiting;

	}

}
