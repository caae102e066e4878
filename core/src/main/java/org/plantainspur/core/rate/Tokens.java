package org.plantainspur.core.rate;

/**
 * All tokens of an account at one host.
 *
 * @param share the host's own share
 * @param borrowed the tokens from other hosts
 * @param moved the amount that the last operation took or lent
 * @param closed whether the state has been dropped; it then gives no tokens
 */
record Tokens(Share share, Borrowed borrowed, long moved, boolean closed) {

	Tokens limits(long perMilli, long burst, long now) {
		return new Tokens(this.share.limits(perMilli, burst, now), this.borrowed.valid(now), 0, this.closed);
	}

	long available() {
		return this.closed ? 0 : this.share.level() + this.borrowed.total();
	}

	// Borrowed tokens go first, since they expire.
	Tokens takeOne() {
		if (available() < Amounts.TOKEN) {
			return this;
		}
		long fromBorrowed = Math.min(Amounts.TOKEN, this.borrowed.total());
		Borrowed rest = (fromBorrowed > 0) ? this.borrowed.take(fromBorrowed) : this.borrowed;
		return new Tokens(this.share.take(Amounts.TOKEN - fromBorrowed), rest, Amounts.TOKEN, false);
	}

	Tokens lend(long wanted, long reserve, long untilMillis) {
		long free = Math.min(wanted, this.share.level() - reserve);
		long amount = free - Math.floorMod(free, Amounts.MILLI_TOKEN);
		if (this.closed || amount <= 0) {
			return this;
		}
		return new Tokens(this.share.lend(amount, untilMillis), this.borrowed, amount, false);
	}

	Tokens borrow(long amount, long untilMillis) {
		return this.closed ? this : new Tokens(this.share, this.borrowed.add(amount, untilMillis), amount, false);
	}

	Tokens closeIfUnused() {
		boolean unused = this.share.full() && this.borrowed.grants().isEmpty();
		return unused ? new Tokens(this.share, this.borrowed, 0, true) : this;
	}

}
