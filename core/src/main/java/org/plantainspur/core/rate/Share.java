package org.plantainspur.core.rate;

import java.util.ArrayList;
import java.util.List;

/**
 * An account's bucket at one home host. Level plus loans that may still be spent never
 * exceed the burst.
 *
 * @param level the tokens in the bucket
 * @param atMillis the instant for which the level holds
 * @param perMilli the tokens gained in a millisecond
 * @param burst the share of the account's burst
 * @param loans the loans that the borrowers may still spend, the first to end first
 */
record Share(long level, long atMillis, long perMilli, long burst, List<Loan> loans) {

	/**
	 * Loans that end within this time of each other are kept as one, which ends last, so
	 * that the list stays short.
	 */
	private static final long MERGED_MILLIS = 50;

	static Share empty(long now) {
		return new Share(0, now, 0, 0, List.of());
	}

	// Refills in steps at the ends of loans: what was gained while a loan was out must
	// not exceed the capacity of that time.
	Share advance(long now) {
		Share share = this;
		while (!share.loans.isEmpty() && share.loans.get(0).untilMillis() <= now) {
			share = share.refill(share.loans.get(0).untilMillis()).withoutFirstLoan();
		}
		return share.refill(now);
	}

	private Share refill(long now) {
		if (now <= this.atMillis) {
			return this;
		}
		long missing = Math.max(0, capacity() - this.level);
		boolean full = this.perMilli > 0 && now - this.atMillis > missing / this.perMilli;
		long gained = full ? missing : Math.min(missing, (now - this.atMillis) * this.perMilli);
		return new Share(this.level + gained, now, this.perMilli, this.burst, this.loans);
	}

	private Share withoutFirstLoan() {
		return new Share(this.level, this.atMillis, this.perMilli, this.burst,
				this.loans.subList(1, this.loans.size()).stream().toList());
	}

	/**
	 * Changes the limits from now on; tokens above the new capacity are lost.
	 * @param perMilli the new rate
	 * @param burst the new burst
	 * @param now the present
	 * @return the share at present
	 */
	Share limits(long perMilli, long burst, long now) {
		Share share = advance(now);
		if (perMilli == this.perMilli && burst == this.burst) {
			return share;
		}
		long capacity = Math.max(0, burst - share.lent());
		return new Share(Math.min(share.level, capacity), share.atMillis, perMilli, burst, share.loans);
	}

	Share take(long amount) {
		return new Share(this.level - amount, this.atMillis, this.perMilli, this.burst, this.loans);
	}

	Share lend(long amount, long untilMillis) {
		List<Loan> next = new ArrayList<>(this.loans);
		Loan last = next.isEmpty() ? null : next.get(next.size() - 1);
		if (last != null && untilMillis - last.firstUntilMillis() < MERGED_MILLIS) {
			next.set(next.size() - 1, last.merge(amount, untilMillis));
		}
		else {
			next.add(new Loan(amount, untilMillis, untilMillis));
		}
		return new Share(this.level - amount, this.atMillis, this.perMilli, this.burst, List.copyOf(next));
	}

	long lent() {
		long sum = 0;
		for (Loan loan : this.loans) {
			sum += loan.amount();
		}
		return sum;
	}

	private long capacity() {
		return Math.max(0, this.burst - lent());
	}

	boolean full() {
		return this.loans.isEmpty() && this.level >= this.burst;
	}

	/**
	 * Tokens that other hosts may still spend.
	 *
	 * @param amount the amount
	 * @param firstUntilMillis when the first of the merged loans ends
	 * @param untilMillis when the last of the merged loans ends
	 */
	record Loan(long amount, long firstUntilMillis, long untilMillis) {

		Loan merge(long amount, long untilMillis) {
			return new Loan(this.amount + amount, this.firstUntilMillis, Math.max(untilMillis, this.untilMillis));
		}

	}

}
