package org.plantainspur.core.store;

import java.util.List;

/**
 * Divides the longest time from a change in the store to its use among everything that
 * may delay it. All waits of hosts that follow the store are taken from here, so that
 * their sum is checked in one place. For example
 * {@code ChangeDelayBudget.builder().applyMs(2_500).build().answerGraceMs()}.
 */
public final class ChangeDelayBudget {

	/**
	 * The share of the time within which a change must be in force that the hosts use
	 * themselves. The rest is for hosts that are slow or short of processor time.
	 */
	private static final double GOAL_SHARE = 0.4;

	private static final double ANSWER_INTERVAL_SHARE = 0.75;

	private static final double ANSWER_GRACE_SHARE = 0.12;

	private static final double RETRY_INTERVAL_SHARE = 0.5;

	private static final double WHOLE_READ_INTERVAL_SHARE = 0.75;

	/**
	 * The part of a retry interval that is kept between the first attempt, which is made
	 * at once, and the next turn of the host.
	 */
	private static final int RETRY_PAUSE_DIVISOR = 4;

	private static final double PAUSE_SHARE = 0.4;

	/** A call to a store in another region, or the connect before it. */
	private static final long ROUND_TRIP_MS = 60;

	/** A heartbeat and a fetch of rows within a failure domain. */
	private static final long DISTRIBUTION_MS = 10;

	/** The interval between two checks of a host for a late reader. */
	public static final long CHECK_INTERVAL_MS = 100;

	/**
	 * The calls per second that the hosts of a failure domain make together while the
	 * store does not answer. Refused calls are billed, and all tables share them.
	 */
	private static final long DOMAIN_RETRIES_PER_SECOND = 32;

	/**
	 * The shortest time within which changes can be in force, in milliseconds: what does
	 * not shrink with it are round trips and the checks for a reader that has ended.
	 */
	public static final long MIN_APPLY_MS = Math
		.round(readerEndedMs(0) / (1 - GOAL_SHARE * (ANSWER_INTERVAL_SHARE + ANSWER_GRACE_SHARE)));

	private final long applyMs;

	private ChangeDelayBudget(Builder builder) {
		this.applyMs = builder.applyMs;
		if (this.applyMs < MIN_APPLY_MS) {
			throw new IllegalArgumentException(
					"changes cannot be in force within " + this.applyMs + " ms, at least " + MIN_APPLY_MS + " ms");
		}
	}

	/**
	 * Returns a builder.
	 * @return a builder for changes that must be in force within 2,500 ms
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Returns the longest time from a change to its use on all hosts of a failure domain
	 * of which one can read the store.
	 * @return a time in milliseconds
	 */
	public long goalMs() {
		return Math.round(this.applyMs * GOAL_SHARE);
	}

	/**
	 * Returns the longest time between two answers of the store to a host that follows
	 * it, while nothing changes.
	 * @return a time in milliseconds
	 */
	public long answerIntervalMs() {
		return part(ANSWER_INTERVAL_SHARE);
	}

	/**
	 * Returns how long a call to the store waits for a change. Calls for two tables
	 * alternate, so that one of them is answered in each answer interval.
	 * @return a time in milliseconds
	 */
	public long changeWaitMs() {
		return 2 * answerIntervalMs();
	}

	/**
	 * Returns how long after the time at which it was due an answer may come before the
	 * call is repeated on another connection.
	 * @return a time in milliseconds
	 */
	public long answerGraceMs() {
		return part(ANSWER_GRACE_SHARE);
	}

	/**
	 * Returns the interval between the attempts of one host to read a store that does not
	 * answer. It grows with large failure domains, whose hosts find out sooner together.
	 * @param hosts the number of hosts in the failure domain
	 * @return a time in milliseconds
	 */
	public long retryIntervalMs(int hosts) {
		return Math.max(part(RETRY_INTERVAL_SHARE), hosts * 1_000L / DOMAIN_RETRIES_PER_SECOND);
	}

	/**
	 * Returns the shortest time between two attempts of one host. Its turn may come up to
	 * an interval later.
	 * @param hosts the number of hosts in the failure domain
	 * @return a time in milliseconds
	 */
	public long retryPauseMs(int hosts) {
		return retryIntervalMs(hosts) / RETRY_PAUSE_DIVISOR;
	}

	/**
	 * Returns the interval between two whole reads of a table, when the first one was
	 * outdated or the changes after it are lost.
	 * @return a time in milliseconds
	 */
	public long wholeReadIntervalMs() {
		return part(WHOLE_READ_INTERVAL_SHARE);
	}

	/**
	 * Returns the pause after a read that returned changes. Calls to the store are
	 * billed; with the pause, a burst of changes is read in one call.
	 * @return a time in milliseconds
	 */
	public long pauseBetweenReadsMs() {
		return part(PAUSE_SHARE);
	}

	/**
	 * Returns the age of the last answer of a reader from which on other hosts of the
	 * failure domain read the store themselves.
	 * @return a time in milliseconds
	 */
	public long takeoverAgeMs() {
		return answerIntervalMs() + answerGraceMs();
	}

	private long part(double share) {
		return Math.round(goalMs() * share);
	}

	/**
	 * Returns the sums of the waits that can follow each other.
	 * @return each order of events with the longest time from a change, or from the
	 * return of the store, to the use of the change
	 */
	public List<Order> orders() {
		long readMs = 2 * ROUND_TRIP_MS + DISTRIBUTION_MS;
		long lateAnswerMs = answerIntervalMs() + answerGraceMs() + readMs;
		return List.of(new Order("open connections go silent", lateAnswerMs),
				new Order("an answer with changes is lost", lateAnswerMs),
				new Order("the store returns and has lost its history",
						retryPauseMs(1) + retryIntervalMs(1) + readMs + ROUND_TRIP_MS),
				new Order("a whole read is outdated", wholeReadIntervalMs() + readMs),
				new Order("the connection goes silent in the pause after a change",
						pauseBetweenReadsMs() + answerGraceMs() + readMs),
				new Order("the reader ends", readerEndedMs(takeoverAgeMs())));
	}

	// Longer than the other orders. With a shorter age, hosts whose heartbeats are late
	// or lost would take over from a reader that is well, and each call is billed.
	private static long readerEndedMs(long takeoverAgeMs) {
		return takeoverAgeMs + 2 * CHECK_INTERVAL_MS + 2 * ROUND_TRIP_MS + DISTRIBUTION_MS;
	}

	/**
	 * An order of events in which waits follow each other.
	 *
	 * @param name what happens
	 * @param sumMs the sum of the waits in milliseconds
	 */
	public record Order(String name, long sumMs) {
	}

	/**
	 * Builds {@link ChangeDelayBudget}.
	 */
	public static final class Builder {

		private long applyMs = 2_500;

		private Builder() {
		}

		/**
		 * Sets the time within which a change must be in force.
		 * @param milliseconds the time in milliseconds, counted from the write to the
		 * store
		 * @return this builder
		 */
		public Builder applyMs(long milliseconds) {
			this.applyMs = milliseconds;
			return this;
		}

		/**
		 * Builds the budget.
		 * @return the budget
		 * @throws IllegalArgumentException if changes cannot be in force within that time
		 */
		public ChangeDelayBudget build() {
			return new ChangeDelayBudget(this);
		}

	}

}
