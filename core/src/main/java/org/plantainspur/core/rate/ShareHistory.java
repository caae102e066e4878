package org.plantainspur.core.rate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.currency.FencingByAge;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.time.ClockMargin;

/**
 * The configuration in force at this host, and the earlier states that another host which
 * is not yet fenced may still act on.
 *
 * @param current the configuration in force
 * @param past the earlier memberships
 * @param accounts the earlier limits of accounts, by account
 * @param knownFromMillis the instant before which earlier states are not known
 * @param settled whether every process that had lost its seat before that instant is
 * fenced, so that only members may act on the earlier states
 * @param changedMillis when the membership last changed here
 */
record ShareHistory(Configuration current, List<Past> past, Map<String, List<PastAccount>> accounts,
		long knownFromMillis, boolean settled, long changedMillis) {

	/**
	 * How long a borrower may spend a loan, counted from before it asked. Loans carry at
	 * most the burst in this time, so it is short for accounts with a small burst; an
	 * answer from another region takes up to 64 ms of it.
	 */
	static final long LOAN_MILLIS = 300;

	/** The same with the margin for clocks that run at different rates. */
	static final long LOAN_OUT_MILLIS = ClockMargin.lengthen(LOAN_MILLIS);

	/**
	 * After this time every host that missed a change is fenced, and the loans that it
	 * gave before have ended.
	 */
	static final long TAKEOVER_MILLIS = ClockMargin.lengthen(FencingByAge.FENCING_TIMEOUT_MILLIS) + LOAN_OUT_MILLIS;

	static ShareHistory start(Configuration configuration, long now) {
		return new ShareHistory(configuration, List.of(), Map.of(), now, settled(configuration), now);
	}

	ShareHistory learn(Configuration next, long now) {
		if (next.sequence() <= this.current.sequence()) {
			return this;
		}
		// A process that waits for a seat changes neither the sequence number of the
		// membership nor any share.
		boolean moved = next.membership().sequence() != this.current.membership().sequence();
		boolean known = !moved || follows(next.membership());
		List<Past> nextPast = new ArrayList<>(
				this.past.stream().filter((item) -> now < item.untilMillis() + TAKEOVER_MILLIS).toList());
		if (moved) {
			nextPast.add(new Past(this.current.membership(), now));
			next.membership()
				.earlier()
				.stream()
				.filter((membership) -> membership.sequence() > this.current.membership().sequence())
				.forEach((membership) -> nextPast.add(new Past(membership, now)));
		}
		return new ShareHistory(next, List.copyOf(nextPast), changedAccounts(next, now),
				known ? this.knownFromMillis : now, (known && this.settled) || settled(next),
				moved ? now : this.changedMillis);
	}

	private static boolean settled(Configuration configuration) {
		return configuration.membership().departureSequence() == 0;
	}

	private boolean follows(Membership next) {
		long sequence = this.current.membership().sequence();
		return next.earlier().stream().anyMatch((membership) -> membership.sequence() == sequence);
	}

	// Only a change of the burst can move shares; a new account has no earlier holders.
	private Map<String, List<PastAccount>> changedAccounts(Configuration next, long now) {
		Map<String, List<PastAccount>> changed = new HashMap<>();
		this.accounts.forEach((id, items) -> {
			List<PastAccount> kept = items.stream()
				.filter((item) -> now < item.untilMillis() + TAKEOVER_MILLIS)
				.toList();
			if (!kept.isEmpty()) {
				changed.put(id, kept);
			}
		});
		for (ClientAccount account : next.accounts()) {
			if (next.version("account/" + account.id()) > this.current.sequence()) {
				PastAccount item = new PastAccount(this.current.account(account.id()), now);
				changed.merge(account.id(), List.of(item), ShareHistory::joined);
			}
		}
		return Map.copyOf(changed);
	}

	private static List<PastAccount> joined(List<PastAccount> first, List<PastAccount> second) {
		List<PastAccount> all = new ArrayList<>(first);
		all.addAll(second);
		return List.copyOf(all);
	}

	List<Past> pastAt(long now) {
		return this.past.stream().filter((item) -> now < item.untilMillis() + TAKEOVER_MILLIS).toList();
	}

	List<PastAccount> pastAccountsAt(String accountId, long now) {
		return this.accounts.getOrDefault(accountId, List.of())
			.stream()
			.filter((item) -> now < item.untilMillis() + TAKEOVER_MILLIS)
			.toList();
	}

	/**
	 * A membership that another host may still act on.
	 *
	 * @param membership the membership
	 * @param untilMillis when this host learned of its successor
	 */
	record Past(Membership membership, long untilMillis) {
	}

	/**
	 * Limits that another host may still act on.
	 *
	 * @param account the account with its earlier limits, {@code null} if there was none
	 * @param untilMillis when this host learned of the change
	 */
	record PastAccount(@Nullable ClientAccount account, long untilMillis) {
	}

}
