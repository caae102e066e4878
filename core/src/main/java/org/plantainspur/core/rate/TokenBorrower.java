package org.plantainspur.core.rate;

import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;

import org.plantainspur.core.membership.Member;
import org.plantainspur.core.peer.PeerLink;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.Clock;

/**
 * Borrows tokens of one account from its home hosts. At most one request to each home
 * host is outstanding, and requests are sent in rounds at least 50 ms apart. With the
 * maximum of four home hosts, a host sends at most 80 requests a second for an account.
 */
final class TokenBorrower {

	private static final long ROUND_MILLIS = 50;

	/** The backoff after a lender lends less than requested. */
	private static final long INITIAL_BACKOFF_MILLIS = 25;

	/** The limit of the backoff, which doubles while a lender lends nothing. */
	private static final long MAX_BACKOFF_MILLIS = 400;

	private final String hostId;

	private final String accountId;

	private final PeerLink link;

	private final Clock clock;

	private final BiConsumer<Long, Long> onLoan;

	private final AtomicLong nextRoundMillis = new AtomicLong(Long.MIN_VALUE);

	/** The total of the requests that have not been answered yet, in nanotokens. */
	private final AtomicLong requestedAmount = new AtomicLong();

	private final AtomicInteger nextLender = new AtomicInteger();

	private final ConcurrentMap<String, AtomicReference<LenderState>> lenders = new ConcurrentHashMap<>();

	/**
	 * Creates a borrower for one account.
	 * @param hostId the id of this host
	 * @param accountId the account's id
	 * @param link sends messages to other members
	 * @param clock the process clock
	 * @param onLoan receives the amount of each loan in nanotokens and the instant at
	 * which it expires
	 */
	TokenBorrower(String hostId, String accountId, PeerLink link, Clock clock, BiConsumer<Long, Long> onLoan) {
		this.hostId = hostId;
		this.accountId = accountId;
		this.link = link;
		this.clock = clock;
		this.onLoan = onLoan;
	}

	/**
	 * Sends requests for tokens if a round is due.
	 * @param requested the amount needed in nanotokens, including what outstanding
	 * requests already ask for
	 * @param homes the home hosts that may lend
	 */
	void borrow(long requested, List<Member> homes) {
		long now = this.clock.millis();
		long shortfall = requested - this.requestedAmount.get();
		long roundDueMillis = this.nextRoundMillis.get();
		if (shortfall < TokenAmounts.MILLI_TOKEN || homes.isEmpty() || now < roundDueMillis
				|| !this.nextRoundMillis.compareAndSet(roundDueMillis, now + ROUND_MILLIS)) {
			return;
		}
		List<Member> ready = homes.stream().filter((home) -> lenderState(home).get().ready(now)).toList();
		if (ready.isEmpty()) {
			return;
		}
		// An amount below two tokens is requested from one lender, in rotation; a larger
		// one is split among several.
		int parts = (int) Math.min(ready.size(), Math.max(1, shortfall / TokenAmounts.TOKEN));
		long each = roundUp(shortfall / parts);
		int first = this.nextLender.getAndIncrement();
		for (int i = 0; i < parts; i++) {
			requestLoan(ready.get(Math.floorMod(first + i, ready.size())), each, now);
		}
	}

	private static long roundUp(long amount) {
		return (amount + TokenAmounts.MILLI_TOKEN - 1) / TokenAmounts.MILLI_TOKEN * TokenAmounts.MILLI_TOKEN;
	}

	private AtomicReference<LenderState> lenderState(Member home) {
		return this.lenders.computeIfAbsent(home.hostId(), (id) -> new AtomicReference<>(LenderState.INITIAL));
	}

	private void requestLoan(Member home, long amount, long now) {
		AtomicReference<LenderState> lender = lenderState(home);
		LenderState before = lender.get();
		if (!before.ready(now) || !lender.compareAndSet(before, before.afterRequest(now))) {
			return;
		}
		this.requestedAmount.addAndGet(amount);
		this.link
			.ask(home, new PeerMessage.Borrow(this.hostId, this.accountId, amount / TokenAmounts.MILLI_TOKEN),
					ShareHistory.LOAN_LIFETIME_MILLIS)
			.whenComplete((reply, failure) -> {
				this.requestedAmount.addAndGet(-amount);
				long lentAmount = (reply instanceof PeerMessage.Lent lent)
						? lent.milliTokens() * TokenAmounts.MILLI_TOKEN : 0;
				long repliedMillis = this.clock.millis();
				lender.updateAndGet((state) -> state.afterReply(repliedMillis, amount, lentAmount));
				if (lentAmount > 0) {
					this.onLoan.accept(lentAmount, now + ShareHistory.LOAN_LIFETIME_MILLIS);
				}
			});
	}

	/**
	 * When a lender may be asked next.
	 *
	 * @param nextRequestMillis the instant before which no request is sent to it
	 * @param backoffMillis the last backoff in milliseconds
	 */
	private record LenderState(long nextRequestMillis, long backoffMillis) {

		static final LenderState INITIAL = new LenderState(Long.MIN_VALUE, 0);

		boolean ready(long now) {
			return now >= this.nextRequestMillis;
		}

		LenderState afterRequest(long now) {
			return new LenderState(now + ShareHistory.LOAN_LIFETIME_MILLIS, this.backoffMillis);
		}

		LenderState afterReply(long now, long requested, long lent) {
			if (lent >= requested) {
				return new LenderState(now, 0);
			}
			if (lent > 0) {
				return new LenderState(now + INITIAL_BACKOFF_MILLIS, 0);
			}
			long backoff = Math.min(MAX_BACKOFF_MILLIS, Math.max(INITIAL_BACKOFF_MILLIS, 2 * this.backoffMillis));
			return new LenderState(now + backoff, backoff);
		}

	}

}
