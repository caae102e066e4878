package org.plantainspur.core.rate;

import java.util.ArrayList;
import java.util.List;

/**
 * The tokens of one account that this host has borrowed from other hosts.
 *
 * @param loans the unspent loans, ordered by expiry
 */
record BorrowedTokens(List<UnspentLoan> loans) {

	static final BorrowedTokens NONE = new BorrowedTokens(List.of());

	BorrowedTokens withoutExpired(long now) {
		if (this.loans.isEmpty() || this.loans.get(0).expiryMillis() > now) {
			return this;
		}
		return new BorrowedTokens(this.loans.stream().filter((loan) -> loan.expiryMillis() > now).toList());
	}

	long total() {
		long sum = 0;
		for (UnspentLoan loan : this.loans) {
			sum += loan.amount();
		}
		return sum;
	}

	BorrowedTokens add(long amount, long expiryMillis) {
		List<UnspentLoan> next = new ArrayList<>(this.loans);
		int index = next.size();
		while (index > 0 && next.get(index - 1).expiryMillis() > expiryMillis) {
			index--;
		}
		next.add(index, new UnspentLoan(amount, expiryMillis));
		return new BorrowedTokens(List.copyOf(next));
	}

	BorrowedTokens take(long amount) {
		List<UnspentLoan> next = new ArrayList<>(this.loans.size());
		long remaining = amount;
		for (UnspentLoan loan : this.loans) {
			long used = Math.min(remaining, loan.amount());
			remaining -= used;
			if (used < loan.amount()) {
				next.add(new UnspentLoan(loan.amount() - used, loan.expiryMillis()));
			}
		}
		return new BorrowedTokens(List.copyOf(next));
	}

	/**
	 * The unspent part of a loan.
	 *
	 * @param amount the amount in nanotokens
	 * @param expiryMillis the instant from which on the tokens may no longer be spent
	 */
	record UnspentLoan(long amount, long expiryMillis) {
	}

}
