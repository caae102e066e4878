package org.plantainspur.core.store;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

import org.plantainspur.core.time.Clock;

/**
 * Spaces the attempts of one host to read a store that does not answer. All tables share
 * one interval and take turns, since each call is billed; once the store answers for one
 * table, the others are read at once. The hosts of a failure domain make their attempts
 * one after another, so that the first answer keeps the others from calling. Used by one
 * thread.
 */
public final class RetrySchedule {

	private final Clock clock;

	private final Scheduler scheduler;

	private final ChangeDelayBudget budget;

	/** The attempts that wait, each with the time before which it is not made. */
	private final Map<BooleanSupplier, Long> waiting = new LinkedHashMap<>();

	private int rank;

	private int hosts = 1;

	private long lastAttemptMs = Long.MIN_VALUE / 2;

	private boolean timerPending;

	/**
	 * Creates a schedule without attempts, for a host without others.
	 * @param clock the host's clock
	 * @param scheduler runs the attempts
	 * @param budget the interval between two attempts
	 */
	public RetrySchedule(Clock clock, Scheduler scheduler, ChangeDelayBudget budget) {
		this.clock = clock;
		this.scheduler = scheduler;
		this.budget = budget;
	}

	/**
	 * Sets the place of this host among those that make attempts.
	 * @param newRank the position of this host in its failure domain, 0 for the first
	 * @param newHosts the number of hosts in the failure domain
	 */
	public void assign(int newRank, int newHosts) {
		this.rank = newRank;
		this.hosts = Math.max(1, newHosts);
	}

	/**
	 * Makes an attempt when its turn comes, or when the store answers another one. The
	 * first attempt since the store answered is made at once.
	 * @param attempt makes the attempt and returns whether it made a call; it waits once
	 * however often it is added
	 * @param sentMs when the call was sent that the attempt repeats, or earlier for one
	 * that is repeated as soon as possible
	 */
	public void add(BooleanSupplier attempt, long sentMs) {
		this.waiting.put(attempt, sentMs + this.budget.retryPauseMs(this.hosts));
		scheduleNext();
	}

	/**
	 * Makes all waiting attempts, since the store has answered.
	 */
	public void storeAnswered() {
		List<BooleanSupplier> attempts = List.copyOf(this.waiting.keySet());
		this.waiting.clear();
		attempts.forEach((attempt) -> this.scheduler.after(0, attempt::getAsBoolean));
	}

	private long intervalMs() {
		return this.budget.retryIntervalMs(this.hosts);
	}

	private void scheduleNext() {
		if (this.timerPending || this.waiting.isEmpty()) {
			return;
		}
		this.timerPending = true;
		long nowMs = this.clock.millis();
		long earliestMs = Math.max(nowMs, Collections.min(this.waiting.values()));
		boolean first = nowMs - this.lastAttemptMs > intervalMs() * 2 && earliestMs == nowMs;
		this.scheduler.after(first ? 0 : turnMs(earliestMs) - nowMs, this::attemptNext);
	}

	// The first turn of this host from a time on.
	private long turnMs(long earliestMs) {
		long intervalMs = intervalMs();
		long fromMs = Math.max(earliestMs, this.lastAttemptMs + this.budget.retryPauseMs(this.hosts));
		long phaseMs = intervalMs * this.rank / this.hosts;
		return fromMs + Math.floorMod(phaseMs - fromMs, intervalMs);
	}

	private void attemptNext() {
		this.timerPending = false;
		long nowMs = this.clock.millis();
		boolean made = false;
		try {
			while (!made) {
				BooleanSupplier attempt = this.waiting.entrySet()
					.stream()
					.filter((entry) -> entry.getValue() <= nowMs)
					.map(Map.Entry::getKey)
					.findFirst()
					.orElse(null);
				if (attempt == null) {
					return;
				}
				this.waiting.remove(attempt);
				made = attempt.getAsBoolean();
			}
			this.lastAttemptMs = nowMs;
		}
		finally {
			scheduleNext();
		}
	}

}
