package org.plantainspur.core.rate;

/**
 * All tokens of an account at one host. Amounts are in nanotokens.
 *
 * @param bucket the bucket filled by the host's own share
 * @param borrowed the tokens borrowed from other hosts
 * @param lastAmount the amount that the last operation took, lent or borrowed; 0 if the
 * tokens did not suffice or the state is closed
 * @param closed whether the state has been dropped and no longer gives or accepts tokens
 */
record AccountTokens(TokenBucket bucket, BorrowedTokens borrowed, long lastAmount, boolean closed) {

	AccountTokens withLimits(long perMilli, long burst, long now) {
		return new AccountTokens(this.bucket.withLimits(perMilli, burst, now), this.borrowed.withoutExpired(now), 0,
				this.closed);
	}

	long available() {
		return this.closed ? 0 : this.bucket.level() + this.borrowed.total();
	}

	// Borrowed tokens are spent first, since they expire.
	AccountTokens takeOne() {
		if (available() < TokenAmounts.TOKEN) {
			return this;
		}
		long fromBorrowed = Math.min(TokenAmounts.TOKEN, this.borrowed.total());
		BorrowedTokens rest = (fromBorrowed > 0) ? this.borrowed.take(fromBorrowed) : this.borrowed;
		return new AccountTokens(this.bucket.take(TokenAmounts.TOKEN - fromBorrowed), rest, TokenAmounts.TOKEN, false);
	}

	AccountTokens lend(long requested, long reserve, long expiryMillis) {
		long lendable = Math.min(requested, this.bucket.level() - reserve);
		long amount = lendable - Math.floorMod(lendable, TokenAmounts.MILLI_TOKEN);
		if (this.closed || amount <= 0) {
			return this;
		}
		return new AccountTokens(this.bucket.lend(amount, expiryMillis), this.borrowed, amount, false);
	}

	AccountTokens addBorrowed(long amount, long expiryMillis) {
		return this.closed ? this
				: new AccountTokens(this.bucket, this.borrowed.add(amount, expiryMillis), amount, false);
	}

	AccountTokens closeIfUnused() {
		boolean unused = this.bucket.isFull() && this.borrowed.loans().isEmpty();
		return unused ? new AccountTokens(this.bucket, this.borrowed, 0, true) : this;
	}

}
