package org.plantainspur.core.rate;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.membership.HomeHosts;
import org.plantainspur.core.membership.Member;

/**
 * Works out the shares of this host. Every host that is not fenced knows the same oldest
 * state that any other such host may act on. A host that takes the least of its shares
 * over these states therefore never overlaps with another.
 */
final class SharePlanner {

	private final HomeHosts homeHosts;

	private final Member self;

	SharePlanner(HomeHosts homeHosts, Member self) {
		this.homeHosts = homeHosts;
		this.self = self;
	}

	SharePlan plan(ShareHistory history, ClientAccount account, long now) {
		List<Member> homes = this.homeHosts.homes(account, history.current().membership());
		Search search = new Search(divisor(homes), history.knownFromMillis() + ShareHistory.TAKEOVER_MILLIS);
		search(history, account, now, search);
		for (ShareHistory.PastAccount past : history.pastAccountsAt(account.id(), now)) {
			if (past.account() != null) {
				search.add(this.homeHosts.homes(past.account(), history.current().membership()));
				search(history, past.account(), now, search);
				search.until(past.untilMillis());
			}
		}
		boolean known = now >= history.knownFromMillis() + ShareHistory.TAKEOVER_MILLIS;
		if (!known) {
			addMembers(history, now, search);
		}
		long sequence = Math.max(history.current().membership().sequence(),
				history.current().version("account/" + account.id()));
		return new SharePlan(history, account, homes.stream().filter((home) -> !isSelf(home)).toList(),
				known ? search.divisor : 0, divisor(homes), Set.copyOf(search.holders), sequence,
				known || history.settled(), search.takeoverMillis, Long.MAX_VALUE);
	}

	// Limits that the account had before this process started may have given a share to
	// any member.
	private void addMembers(ShareHistory history, long now, Search search) {
		search.addHolders(history.current().membership().members());
		history.pastAt(now).forEach((past) -> search.addHolders(past.membership().members()));
	}

	private void search(ShareHistory history, ClientAccount account, long now, Search search) {
		for (ShareHistory.Past past : history.pastAt(now)) {
			search.add(this.homeHosts.homes(account, past.membership()));
			search.until(past.untilMillis());
		}
	}

	private int divisor(List<Member> homes) {
		return homes.stream().anyMatch(this::isSelf) ? homes.size() : 0;
	}

	private boolean isSelf(Member member) {
		return member.hostId().equals(this.self.hostId()) && member.processId().equals(this.self.processId());
	}

	/**
	 * The least share over several states, and the holders in them.
	 */
	private final class Search {

		private final Set<Member> holders = new HashSet<>();

		private int divisor;

		private long takeoverMillis;

		Search(int divisor, long takeoverMillis) {
			this.divisor = divisor;
			this.takeoverMillis = takeoverMillis;
		}

		void add(List<Member> homes) {
			int other = SharePlanner.this.divisor(homes);
			this.divisor = (this.divisor == 0 || other == 0) ? 0 : Math.max(this.divisor, other);
			addHolders(homes);
		}

		void addHolders(Collection<Member> members) {
			members.stream().filter((member) -> !isSelf(member)).forEach(this.holders::add);
		}

		void until(long millis) {
			this.takeoverMillis = Math.max(this.takeoverMillis, millis + ShareHistory.TAKEOVER_MILLIS);
		}

	}

}
