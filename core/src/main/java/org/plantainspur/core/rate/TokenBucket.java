package org.plantainspur.core.rate;

import java.util.ArrayList;
import java.util.List;

/**
 * The token bucket of one account at one home host, filled by this host's share of the
 * account's rate. The level and the outstanding loans together never exceed the burst.
 *
 * @param level the nanotokens in the bucket
 * @param atMillis the instant at which the bucket had this level
 * @param perMilli the nanotokens gained per millisecond
 * @param burst this host's share of the account's burst, in nanotokens
 * @param loans the loans that borrowers may still spend, ordered by expiry
 */
record TokenBucket(long level, long atMillis, long perMilli, long burst, List<Loan> loans) {

	/**
	 * Loans that expire within this time of each other are merged into one with the
	 * latest expiry, so that the list stays short.
	 */
	private static final long MERGE_WINDOW_MILLIS = 50;

	static TokenBucket empty(long now) {
		return new TokenBucket(0, now, 0, 0, List.of());
	}

	// Refills up to the expiry of each loan in turn: the tokens gained while a loan is
	// outstanding are limited to the part of the burst that is not lent.
	TokenBucket advance(long now) {
		TokenBucket bucket = this;
		while (!bucket.loans.isEmpty() && bucket.loans.get(0).expiryMillis() <= now) {
			bucket = bucket.refill(bucket.loans.get(0).expiryMillis()).withoutFirstLoan();
		}
		return bucket.refill(now);
	}

	private TokenBucket refill(long now) {
		if (now <= this.atMillis) {
			return this;
		}
		long missing = Math.max(0, capacity() - this.level);
		boolean fills = this.perMilli > 0 && now - this.atMillis > missing / this.perMilli;
		long gained = fills ? missing : Math.min(missing, (now - this.atMillis) * this.perMilli);
		return new TokenBucket(this.level + gained, now, this.perMilli, this.burst, this.loans);
	}

	private TokenBucket withoutFirstLoan() {
		return new TokenBucket(this.level, this.atMillis, this.perMilli, this.burst,
				this.loans.subList(1, this.loans.size()).stream().toList());
	}

	/**
	 * Changes the limits from now on; tokens above the new capacity are lost.
	 * @param perMilli the new rate in nanotokens per millisecond
	 * @param burst the new burst in nanotokens
	 * @param now the current instant
	 * @return the bucket refilled up to now
	 */
	TokenBucket withLimits(long perMilli, long burst, long now) {
		TokenBucket bucket = advance(now);
		if (perMilli == this.perMilli && burst == this.burst) {
			return bucket;
		}
		long capacity = Math.max(0, burst - bucket.outstanding());
		return new TokenBucket(Math.min(bucket.level, capacity), bucket.atMillis, perMilli, burst, bucket.loans);
	}

	TokenBucket take(long amount) {
		return new TokenBucket(this.level - amount, this.atMillis, this.perMilli, this.burst, this.loans);
	}

	TokenBucket lend(long amount, long expiryMillis) {
		List<Loan> next = new ArrayList<>(this.loans);
		Loan last = next.isEmpty() ? null : next.get(next.size() - 1);
		if (last != null && expiryMillis - last.firstExpiryMillis() < MERGE_WINDOW_MILLIS) {
			next.set(next.size() - 1, last.merge(amount, expiryMillis));
		}
		else {
			next.add(new Loan(amount, expiryMillis, expiryMillis));
		}
		return new TokenBucket(this.level - amount, this.atMillis, this.perMilli, this.burst, List.copyOf(next));
	}

	long outstanding() {
		long sum = 0;
		for (Loan loan : this.loans) {
			sum += loan.amount();
		}
		return sum;
	}

	private long capacity() {
		return Math.max(0, this.burst - outstanding());
	}

	boolean isFull() {
		return this.loans.isEmpty() && this.level >= this.burst;
	}

	/**
	 * One or more merged loans that other hosts may still spend.
	 *
	 * @param amount the total in nanotokens
	 * @param firstExpiryMillis the instant at which the first of the loans expires
	 * @param expiryMillis the instant at which the last of the loans expires
	 */
	record Loan(long amount, long firstExpiryMillis, long expiryMillis) {

		Loan merge(long amount, long expiryMillis) {
			return new Loan(this.amount + amount, this.firstExpiryMillis, Math.max(expiryMillis, this.expiryMillis));
		}

	}

}
