package org.plantainspur.core.rate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.currency.ReadAgeCurrencyRule;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.time.ClockMargin;

/**
 * The configuration in force at this host, and the earlier memberships and limits that
 * another host which is not yet fenced may still act on.
 *
 * @param current the configuration in force
 * @param pastMemberships the earlier memberships, in the order in which they were
 * superseded
 * @param pastAccounts the earlier limits of accounts, by account id
 * @param knownFromMillis the instant from which on every change is known here
 * @param departedFenced whether every process that had lost its seat before that instant
 * is fenced, so that only members may act on earlier configurations
 * @param membershipChangedMillis the instant at which the membership last changed at this
 * host
 */
record ShareHistory(Configuration current, List<PastMembership> pastMemberships,
		Map<String, List<PastAccount>> pastAccounts, long knownFromMillis, boolean departedFenced,
		long membershipChangedMillis) {

	/**
	 * How long a borrower may spend a loan, counted from just before it sent the request.
	 * A lender's loans total at most its burst in this time, so a longer time would slow
	 * down accounts with a small burst. A reply from another region takes up to 64 ms of
	 * it.
	 */
	static final long LOAN_LIFETIME_MILLIS = 300;

	/**
	 * How long a lender counts a loan as outstanding: its lifetime and a margin for
	 * clocks that run at different rates.
	 */
	static final long LOAN_OUTSTANDING_MILLIS = ClockMargin.lengthen(LOAN_LIFETIME_MILLIS);

	/**
	 * The time after a change by which every host that missed the change is fenced and
	 * the loans that it granted before have expired.
	 */
	static final long TAKEOVER_MILLIS = ClockMargin.lengthen(ReadAgeCurrencyRule.FENCING_TIMEOUT_MILLIS)
			+ LOAN_OUTSTANDING_MILLIS;

	static ShareHistory start(Configuration configuration, long now) {
		return new ShareHistory(configuration, List.of(), Map.of(), now, departedFenced(configuration), now);
	}

	ShareHistory advance(Configuration next, long now) {
		if (next.sequence() <= this.current.sequence()) {
			return this;
		}
		// A process that only waits for a seat changes neither the sequence number of
		// the membership nor any share.
		boolean membershipChanged = next.membership().sequence() != this.current.membership().sequence();
		boolean continuous = !membershipChanged || includesCurrent(next.membership());
		List<PastMembership> nextPastMemberships = new ArrayList<>(this.pastMemberships.stream()
			.filter((item) -> now < item.supersededMillis() + TAKEOVER_MILLIS)
			.toList());
		if (membershipChanged) {
			nextPastMemberships.add(new PastMembership(this.current.membership(), now));
			next.membership()
				.previousMemberships()
				.stream()
				.filter((membership) -> membership.sequence() > this.current.membership().sequence())
				.forEach((membership) -> nextPastMemberships.add(new PastMembership(membership, now)));
		}
		return new ShareHistory(next, List.copyOf(nextPastMemberships), nextPastAccounts(next, now),
				continuous ? this.knownFromMillis : now, (continuous && this.departedFenced) || departedFenced(next),
				membershipChanged ? now : this.membershipChangedMillis);
	}

	private static boolean departedFenced(Configuration configuration) {
		return configuration.membership().departureSequence() == 0;
	}

	private boolean includesCurrent(Membership next) {
		long sequence = this.current.membership().sequence();
		return next.previousMemberships().stream().anyMatch((membership) -> membership.sequence() == sequence);
	}

	// Records every account that has changed. A change of the rate alone leaves the home
	// hosts as they are, since their number depends on the burst. A new account, recorded
	// without limits, has no earlier holders.
	private Map<String, List<PastAccount>> nextPastAccounts(Configuration next, long now) {
		Map<String, List<PastAccount>> byAccount = new HashMap<>();
		this.pastAccounts.forEach((id, items) -> {
			List<PastAccount> kept = items.stream()
				.filter((item) -> now < item.supersededMillis() + TAKEOVER_MILLIS)
				.toList();
			if (!kept.isEmpty()) {
				byAccount.put(id, kept);
			}
		});
		for (ClientAccount account : next.accounts()) {
			if (next.version("account/" + account.id()) > this.current.sequence()) {
				PastAccount item = new PastAccount(this.current.account(account.id()), now);
				byAccount.merge(account.id(), List.of(item), ShareHistory::concat);
			}
		}
		return Map.copyOf(byAccount);
	}

	private static List<PastAccount> concat(List<PastAccount> first, List<PastAccount> second) {
		List<PastAccount> all = new ArrayList<>(first);
		all.addAll(second);
		return List.copyOf(all);
	}

	List<PastMembership> pastMembershipsAt(long now) {
		return this.pastMemberships.stream().filter((item) -> now < item.supersededMillis() + TAKEOVER_MILLIS).toList();
	}

	List<PastAccount> pastAccountsAt(String accountId, long now) {
		return this.pastAccounts.getOrDefault(accountId, List.of())
			.stream()
			.filter((item) -> now < item.supersededMillis() + TAKEOVER_MILLIS)
			.toList();
	}

	/**
	 * A membership that another host may still act on.
	 *
	 * @param membership the earlier membership
	 * @param supersededMillis the instant at which this host put its successor in force
	 */
	record PastMembership(Membership membership, long supersededMillis) {
	}

	/**
	 * Limits of an account that another host may still act on.
	 *
	 * @param account the account with its earlier limits, {@code null} if there was none
	 * @param supersededMillis the instant at which this host put the changed limits in
	 * force
	 */
	record PastAccount(@Nullable ClientAccount account, long supersededMillis) {
	}

}
