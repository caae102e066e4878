package org.plantainspur.core.rate;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.peer.PeerLink;
import org.plantainspur.core.time.Clock;

/**
 * The state of one account at this host: its tokens, its estimated demand and the number
 * of its waiting requests.
 */
final class AccountLimit {

	/**
	 * Limits the waiting requests of the account at this host to one more than the tokens
	 * that the whole account gains in this time. It equals the maximum wait for a token,
	 * so more requests could not all be served.
	 */
	private static final double MAX_WAITING_SECONDS = 0.2;

	/**
	 * The host borrows what it lacks for the demand expected in this time. It is shorter
	 * than the lifetime of a loan, so that the tokens can be spent before they expire.
	 */
	private static final long BORROW_AHEAD_MILLIS = 150;

	/**
	 * The host borrows when its tokens and those that its share gains cover less than the
	 * demand expected in this time, since a loan takes up to 62 ms to arrive from another
	 * region.
	 */
	private static final long LOW_WATERMARK_MILLIS = 100;

	/**
	 * A lender keeps the tokens for its own demand expected in this time, but at most
	 * half of its burst.
	 */
	private static final long LENDER_RESERVE_MILLIS = 50;

	/**
	 * The maximum time until a waiting request checks again whether a lender is ready.
	 */
	private static final long RECHECK_MILLIS = 25;

	private final Clock clock;

	private final TokenBorrower borrower;

	private final AtomicReference<SharePlan> plan;

	private final AtomicReference<AccountTokens> tokens;

	private final AtomicReference<DemandEstimate> demand;

	private final AtomicInteger waiting = new AtomicInteger();

	private final AtomicLong lastUsedMillis;

	private final AtomicReference<CompletableFuture<Void>> nextLoan = new AtomicReference<>(new CompletableFuture<>());

	AccountLimit(SharePlan plan, String hostId, PeerLink link, Clock clock) {
		this.clock = clock;
		long now = clock.millis();
		this.borrower = new TokenBorrower(hostId, plan.account().id(), link, clock, this::receiveLoan);
		this.plan = new AtomicReference<>(plan);
		this.tokens = new AtomicReference<>(new AccountTokens(initialBucket(plan, now), BorrowedTokens.NONE, 0, false));
		this.demand = new AtomicReference<>(new DemandEstimate(now, 0, 0));
		this.lastUsedMillis = new AtomicLong(now);
	}

	// This host has held its present share since the takeover after the last known
	// change, so a new bucket starts with the tokens gained since then, although the host
	// kept no state of the account.
	private static TokenBucket initialBucket(SharePlan plan, long now) {
		ShareHistory history = plan.history();
		long since = Math.max(history.membershipChangedMillis(), history.knownFromMillis())
				+ ShareHistory.TAKEOVER_MILLIS;
		for (ShareHistory.PastAccount past : history.pastAccountsAt(plan.account().id(), now)) {
			since = Math.max(since,
					past.supersededMillis() + ((past.account() != null) ? ShareHistory.TAKEOVER_MILLIS : 0));
		}
		int divisor = plan.divisor(now);
		return TokenBucket.empty(Math.min(now, since))
			.withLimits(TokenAmounts.perMilli(plan.account(), divisor), TokenAmounts.burst(plan.account(), divisor),
					Math.min(now, since))
			.advance(now);
	}

	SharePlan plan() {
		return this.plan.get();
	}

	void replacePlan(SharePlan expected, SharePlan next) {
		this.plan.compareAndSet(expected, next);
	}

	void countArrival() {
		long now = this.clock.millis();
		this.lastUsedMillis.set(now);
		this.demand.updateAndGet((before) -> before.countArrival(now));
	}

	/**
	 * Takes a token if there is one, and borrows ahead of demand.
	 * @param divisor this host's current share of the account, as 1/n; 0 for no share
	 * @return the remaining tokens; {@code closed} if this state was dropped meanwhile
	 */
	AccountTokens take(int divisor) {
		AccountTokens after = this.tokens.updateAndGet((before) -> refreshed(before, divisor).takeOne());
		if (!after.closed()) {
			borrowAhead(after);
		}
		return after;
	}

	private AccountTokens refreshed(AccountTokens before, int divisor) {
		SharePlan plan = this.plan.get();
		return before.withLimits(TokenAmounts.perMilli(plan.account(), divisor),
				TokenAmounts.burst(plan.account(), divisor), this.clock.millis());
	}

	// Borrows if a request lacks a token or the tokens are below the low watermark.
	private void borrowAhead(AccountTokens after) {
		SharePlan plan = this.plan.get();
		long now = this.clock.millis();
		int tokensNeeded = this.waiting.get() + ((after.lastAmount() == 0) ? 1 : 0);
		long lowWatermark = expected(now, LOW_WATERMARK_MILLIS) - after.bucket().perMilli() * LOW_WATERMARK_MILLIS;
		if (tokensNeeded == 0 && after.available() >= lowWatermark) {
			return;
		}
		long ahead = expected(now, BORROW_AHEAD_MILLIS) - after.bucket().perMilli() * BORROW_AHEAD_MILLIS;
		long requested = Math.max(tokensNeeded * TokenAmounts.TOKEN, ahead) - after.available();
		this.borrower.borrow(requested, plan.lenders());
	}

	// Demand above the account's whole rate is refused anyway, so it is not counted.
	private long expected(long now, long millis) {
		double maximum = (double) TokenAmounts.perMilli(this.plan.get().account(), 1) * millis;
		return (long) Math.min(maximum, this.demand.get().expected(now, millis));
	}

	/**
	 * Takes tokens from this host's own share for another host.
	 * @param divisor this host's current share of the account, as 1/n; 0 for no share
	 * @param requested the amount that the borrower asks for, in nanotokens
	 * @return the lent amount in nanotokens, 0 if there are no tokens to spare
	 */
	long lend(int divisor, long requested) {
		long now = this.clock.millis();
		long reserve = Math.min(expected(now, LENDER_RESERVE_MILLIS),
				TokenAmounts.burst(this.plan.get().account(), divisor) / 2);
		this.lastUsedMillis.set(now);
		AccountTokens after = this.tokens.updateAndGet((before) -> refreshed(before, divisor).lend(requested, reserve,
				this.clock.millis() + ShareHistory.LOAN_OUTSTANDING_MILLIS));
		return after.lastAmount();
	}

	private void receiveLoan(long amount, long expiryMillis) {
		if (this.clock.millis() < expiryMillis) {
			this.tokens.updateAndGet((before) -> before.addBorrowed(amount, expiryMillis));
			this.nextLoan.getAndSet(new CompletableFuture<>()).complete(null);
		}
	}

	boolean tryStartWaiting() {
		int maximum = (int) Math.min(Integer.MAX_VALUE,
				1 + this.plan.get().account().ratePerSecond() * MAX_WAITING_SECONDS);
		return this.waiting.getAndUpdate((count) -> (count < maximum) ? count + 1 : count) < maximum;
	}

	void stopWaiting() {
		this.waiting.decrementAndGet();
	}

	CompletableFuture<Void> nextLoan() {
		return this.nextLoan.get();
	}

	/**
	 * Returns the delay after which a waiting request checks again, since the share may
	 * have gained a token or a lender may be ready.
	 * @param maxMillis the maximum delay in milliseconds
	 * @return the delay in milliseconds, at least 1
	 */
	long recheckDelayMillis(long maxMillis) {
		return Math.max(1, Math.min(maxMillis, millisUntilToken()));
	}

	private long millisUntilToken() {
		AccountTokens current = this.tokens.get();
		long shortfall = Math.max(0, TokenAmounts.TOKEN - current.available());
		long perMilli = current.bucket().perMilli();
		return (perMilli > 0) ? Math.min(RECHECK_MILLIS, 1 + shortfall / perMilli) : RECHECK_MILLIS;
	}

	/**
	 * Closes this state, so that it can be dropped, if the account is idle. The bucket
	 * must be full and no loan outstanding, since a new state may start with a full
	 * bucket.
	 * @param divisor this host's current share of the account, as 1/n; 0 for no share
	 * @param idleMillis the time in milliseconds without a request or a loan
	 * @return whether the state is closed
	 */
	boolean closeIfIdle(int divisor, long idleMillis) {
		if (this.clock.millis() - this.lastUsedMillis.get() < idleMillis || this.waiting.get() > 0) {
			return false;
		}
		return this.tokens.updateAndGet((before) -> refreshed(before, divisor).closeIfUnused()).closed();
	}

}
