package org.plantainspur.core.rate;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.peer.PeerLink;
import org.plantainspur.core.time.Clock;

/**
 * One account's tokens, demand and waiting requests at this host.
 */
final class AccountLimit {

	/** More requests than the whole account gains in this time cannot all be served. */
	private static final double WAIT_SECONDS = 0.2;

	/** Loans are asked for this much demand in advance, and last longer. */
	private static final long AHEAD_MILLIS = 150;

	/** A request for a loan and its answer take up to 62 ms between regions. */
	private static final long LOW_WATER_MILLIS = 100;

	/** What a lender keeps for the requests that it is about to get itself. */
	private static final long RESERVE_MILLIS = 50;

	/** A waiting request looks again for a lender that is ready after this time. */
	private static final long LOOK_AGAIN_MILLIS = 25;

	private final Clock clock;

	private final TokenBorrower borrower;

	private final AtomicReference<SharePlan> plan;

	private final AtomicReference<Tokens> tokens;

	private final AtomicReference<Demand> demand;

	private final AtomicInteger waiting = new AtomicInteger();

	private final AtomicLong usedMillis;

	private final AtomicReference<CompletableFuture<Void>> loanArrived = new AtomicReference<>(
			new CompletableFuture<>());

	AccountLimit(SharePlan plan, String hostId, PeerLink link, Clock clock) {
		this.clock = clock;
		long now = clock.millis();
		this.borrower = new TokenBorrower(hostId, plan.account().id(), link, clock, this::loanArrived);
		this.plan = new AtomicReference<>(plan);
		this.tokens = new AtomicReference<>(new Tokens(startingShare(plan, now), Borrowed.NONE, 0, false));
		this.demand = new AtomicReference<>(new Demand(now, 0, 0));
		this.usedMillis = new AtomicLong(now);
	}

	// The share has been held at least since every change known here was taken over; it
	// has gained tokens since then, although nobody counted them.
	private static Share startingShare(SharePlan plan, long now) {
		ShareHistory history = plan.history();
		long since = Math.max(history.changedMillis(), history.knownFromMillis()) + ShareHistory.TAKEOVER_MILLIS;
		for (ShareHistory.PastAccount past : history.pastAccountsAt(plan.account().id(), now)) {
			since = Math.max(since, past.untilMillis() + ((past.account() != null) ? ShareHistory.TAKEOVER_MILLIS : 0));
		}
		int divisor = plan.divisor(now);
		return Share.empty(Math.min(now, since))
			.limits(Amounts.perMilli(plan.account(), divisor), Amounts.burst(plan.account(), divisor),
					Math.min(now, since))
			.advance(now);
	}

	SharePlan plan() {
		return this.plan.get();
	}

	void plan(SharePlan before, SharePlan next) {
		this.plan.compareAndSet(before, next);
	}

	void arrived() {
		long now = this.clock.millis();
		this.usedMillis.set(now);
		this.demand.updateAndGet((before) -> before.arrived(now));
	}

	/**
	 * Takes a token and borrows ahead of demand.
	 * @param divisor this host's present share of the account
	 * @return the tokens that are left, closed if this state was dropped
	 */
	Tokens take(int divisor) {
		Tokens after = this.tokens.updateAndGet((before) -> atPresent(before, divisor).takeOne());
		if (!after.closed()) {
			borrowAhead(after);
		}
		return after;
	}

	private Tokens atPresent(Tokens before, int divisor) {
		SharePlan plan = this.plan.get();
		return before.limits(Amounts.perMilli(plan.account(), divisor), Amounts.burst(plan.account(), divisor),
				this.clock.millis());
	}

	private void borrowAhead(Tokens after) {
		SharePlan plan = this.plan.get();
		long now = this.clock.millis();
		int needed = this.waiting.get() + ((after.moved() == 0) ? 1 : 0);
		long lowWater = expected(now, LOW_WATER_MILLIS) - after.share().perMilli() * LOW_WATER_MILLIS;
		if (needed == 0 && after.available() >= lowWater) {
			return;
		}
		long ahead = expected(now, AHEAD_MILLIS) - after.share().perMilli() * AHEAD_MILLIS;
		long wanted = Math.max(needed * Amounts.TOKEN, ahead) - after.available();
		this.borrower.borrow(wanted, plan.lenders());
	}

	// More than the account's whole rate cannot come.
	private long expected(long now, long millis) {
		double most = (double) Amounts.perMilli(this.plan.get().account(), 1) * millis;
		return (long) Math.min(most, this.demand.get().expected(now, millis));
	}

	long lend(int divisor, long wanted) {
		long now = this.clock.millis();
		long reserve = Math.min(expected(now, RESERVE_MILLIS), Amounts.burst(this.plan.get().account(), divisor) / 2);
		this.usedMillis.set(now);
		Tokens after = this.tokens.updateAndGet((before) -> atPresent(before, divisor).lend(wanted, reserve,
				this.clock.millis() + ShareHistory.LOAN_OUT_MILLIS));
		return after.moved();
	}

	private void loanArrived(long amount, long untilMillis) {
		if (this.clock.millis() < untilMillis) {
			this.tokens.updateAndGet((before) -> before.borrow(amount, untilMillis));
			this.loanArrived.getAndSet(new CompletableFuture<>()).complete(null);
		}
	}

	boolean startWaiting() {
		int most = (int) Math.min(Integer.MAX_VALUE, 1 + this.plan.get().account().ratePerSecond() * WAIT_SECONDS);
		return this.waiting.getAndUpdate((count) -> (count < most) ? count + 1 : count) < most;
	}

	void stopWaiting() {
		this.waiting.decrementAndGet();
	}

	CompletableFuture<Void> nextLoan() {
		return this.loanArrived.get();
	}

	/**
	 * Returns when a waiting request looks again: the share may have gained a token or a
	 * lender may be ready.
	 * @param mostMillis the longest time
	 * @return the time, in milliseconds from now
	 */
	long lookAgainAfter(long mostMillis) {
		return Math.max(1, Math.min(mostMillis, untilRefill()));
	}

	private long untilRefill() {
		Tokens present = this.tokens.get();
		long missing = Math.max(0, Amounts.TOKEN - present.available());
		long perMilli = present.share().perMilli();
		return (perMilli > 0) ? Math.min(LOOK_AGAIN_MILLIS, 1 + missing / perMilli) : LOOK_AGAIN_MILLIS;
	}

	boolean closeIfIdle(int divisor, long idleMillis) {
		if (this.clock.millis() - this.usedMillis.get() < idleMillis || this.waiting.get() > 0) {
			return false;
		}
		return this.tokens.updateAndGet((before) -> atPresent(before, divisor).closeIfUnused()).closed();
	}

}
