package org.plantainspur.core.rate;

import java.util.ArrayList;
import java.util.List;

/**
 * The tokens of one account that this host has borrowed from other hosts.
 *
 * @param grants the unspent loans, ordered by expiry
 */
record BorrowedTokens(List<Grant> grants) {

	static final BorrowedTokens NONE = new BorrowedTokens(List.of());

	BorrowedTokens withoutExpired(long now) {
		if (this.grants.isEmpty() || this.grants.get(0).expiryMillis() > now) {
			return this;
		}
		return new BorrowedTokens(this.grants.stream().filter((grant) -> grant.expiryMillis() > now).toList());
	}

	long total() {
		long sum = 0;
		for (Grant grant : this.grants) {
			sum += grant.amount();
		}
		return sum;
	}

	BorrowedTokens add(long amount, long expiryMillis) {
		List<Grant> next = new ArrayList<>(this.grants);
		int index = next.size();
		while (index > 0 && next.get(index - 1).expiryMillis() > expiryMillis) {
			index--;
		}
		next.add(index, new Grant(amount, expiryMillis));
		return new BorrowedTokens(List.copyOf(next));
	}

	BorrowedTokens take(long amount) {
		List<Grant> next = new ArrayList<>(this.grants.size());
		long remaining = amount;
		for (Grant grant : this.grants) {
			long used = Math.min(remaining, grant.amount());
			remaining -= used;
			if (used < grant.amount()) {
				next.add(new Grant(grant.amount() - used, grant.expiryMillis()));
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
	record Grant(long amount, long expiryMillis) {
	}

}
