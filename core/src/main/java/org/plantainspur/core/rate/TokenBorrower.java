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
 * Asks the home hosts of one account for tokens. At most one question to each home is
 * open, and questions come in rounds at least 50 ms apart, so an account costs a host at
 * most 80 messages a second.
 */
final class TokenBorrower {

	private static final long ROUND_MILLIS = 50;

	private static final long FIRST_BACKOFF_MILLIS = 25;

	private static final long LONGEST_BACKOFF_MILLIS = 400;

	private final String hostId;

	private final String accountId;

	private final PeerLink link;

	private final Clock clock;

	private final BiConsumer<Long, Long> arrival;

	private final AtomicLong nextRoundMillis = new AtomicLong(Long.MIN_VALUE);

	private final AtomicLong asked = new AtomicLong();

	private final AtomicInteger turn = new AtomicInteger();

	private final ConcurrentMap<String, AtomicReference<Lender>> lenders = new ConcurrentHashMap<>();

	/**
	 * Creates a borrower.
	 * @param hostId this host
	 * @param accountId the account
	 * @param link sends to members
	 * @param clock the process clock
	 * @param arrival takes the amount of a loan and the instant until which it may be
	 * spent
	 */
	TokenBorrower(String hostId, String accountId, PeerLink link, Clock clock, BiConsumer<Long, Long> arrival) {
		this.hostId = hostId;
		this.accountId = accountId;
		this.link = link;
		this.clock = clock;
		this.arrival = arrival;
	}

	/**
	 * Asks for tokens if a round is due.
	 * @param wanted the amount, without regard to open questions
	 * @param homes the home hosts to ask
	 */
	void borrow(long wanted, List<Member> homes) {
		long now = this.clock.millis();
		long missing = wanted - this.asked.get();
		long due = this.nextRoundMillis.get();
		if (missing < Amounts.MILLI_TOKEN || homes.isEmpty() || now < due
				|| !this.nextRoundMillis.compareAndSet(due, now + ROUND_MILLIS)) {
			return;
		}
		List<Member> ready = homes.stream().filter((home) -> lender(home).get().ready(now)).toList();
		if (ready.isEmpty()) {
			return;
		}
		// A small amount goes to one lender in turn; a large one is split.
		int parts = (int) Math.min(ready.size(), Math.max(1, missing / Amounts.TOKEN));
		long each = roundUp(missing / parts);
		int first = this.turn.getAndIncrement();
		for (int i = 0; i < parts; i++) {
			ask(ready.get(Math.floorMod(first + i, ready.size())), each, now);
		}
	}

	private static long roundUp(long amount) {
		return (amount + Amounts.MILLI_TOKEN - 1) / Amounts.MILLI_TOKEN * Amounts.MILLI_TOKEN;
	}

	private AtomicReference<Lender> lender(Member home) {
		return this.lenders.computeIfAbsent(home.hostId(), (id) -> new AtomicReference<>(Lender.NEW));
	}

	private void ask(Member home, long amount, long now) {
		AtomicReference<Lender> lender = lender(home);
		Lender before = lender.get();
		if (!before.ready(now) || !lender.compareAndSet(before, before.asked(now))) {
			return;
		}
		this.asked.addAndGet(amount);
		this.link
			.ask(home, new PeerMessage.Borrow(this.hostId, this.accountId, amount / Amounts.MILLI_TOKEN),
					ShareHistory.LOAN_MILLIS)
			.whenComplete((answer, failure) -> {
				this.asked.addAndGet(-amount);
				long given = (answer instanceof PeerMessage.Lent lent) ? lent.milliTokens() * Amounts.MILLI_TOKEN : 0;
				long present = this.clock.millis();
				lender.updateAndGet((state) -> state.answered(present, amount, given));
				if (given > 0) {
					this.arrival.accept(given, now + ShareHistory.LOAN_MILLIS);
				}
			});
	}

	/**
	 * What is known of a lender.
	 *
	 * @param askAgainMillis the instant before which it is not asked
	 * @param backoffMillis the last pause
	 */
	private record Lender(long askAgainMillis, long backoffMillis) {

		static final Lender NEW = new Lender(Long.MIN_VALUE, 0);

		boolean ready(long now) {
			return now >= this.askAgainMillis;
		}

		Lender asked(long now) {
			return new Lender(now + ShareHistory.LOAN_MILLIS, this.backoffMillis);
		}

		Lender answered(long now, long wanted, long given) {
			if (given >= wanted) {
				return new Lender(now, 0);
			}
			if (given > 0) {
				return new Lender(now + FIRST_BACKOFF_MILLIS, 0);
			}
			long pause = Math.min(LONGEST_BACKOFF_MILLIS, Math.max(FIRST_BACKOFF_MILLIS, 2 * this.backoffMillis));
			return new Lender(now + pause, pause);
		}

	}

}
