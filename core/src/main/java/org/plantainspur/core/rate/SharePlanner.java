package org.plantainspur.core.rate;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.membership.HostAssignment;
import org.plantainspur.core.membership.Member;

/**
 * Computes the shares of this host. Until the earlier holders are fenced or have released
 * their shares, a host uses only the smallest share that it has in any configuration on
 * which a host that is not fenced may still act. Every host that is not fenced knows the
 * oldest of these configurations and all later ones, so the shares of two hosts never
 * overlap.
 */
final class SharePlanner {

	private final HostAssignment homeHosts;

	private final Member self;

	SharePlanner(HostAssignment homeHosts, Member self) {
		this.homeHosts = homeHosts;
		this.self = self;
	}

	SharePlan plan(ShareHistory history, ClientAccount account, long now) {
		List<Member> homes = this.homeHosts.homeHosts(account, history.current().membership());
		PossibleHolders holders = new PossibleHolders(divisor(homes),
				history.knownFromMillis() + ShareHistory.TAKEOVER_MILLIS);
		addPastMemberships(history, account, now, holders);
		for (ShareHistory.PastAccount past : history.pastAccountsAt(account.id(), now)) {
			if (past.account() != null) {
				holders.include(this.homeHosts.homeHosts(past.account(), history.current().membership()));
				addPastMemberships(history, past.account(), now, holders);
				holders.extendTakeover(past.supersededMillis());
			}
		}
		boolean historyComplete = now >= history.knownFromMillis() + ShareHistory.TAKEOVER_MILLIS;
		if (!historyComplete) {
			addAllMembers(history, now, holders);
		}
		long sequence = Math.max(history.current().membership().sequence(),
				history.current().version("account/" + account.id()));
		return new SharePlan(history, account, homes.stream().filter((home) -> !isSelf(home)).toList(),
				historyComplete ? holders.divisor : 0, divisor(homes), Set.copyOf(holders.members), sequence,
				historyComplete || history.departedFenced(), holders.takeoverMillis, Long.MAX_VALUE);
	}

	// The limits that the account had before this process started are unknown, and may
	// have given a share to any member.
	private void addAllMembers(ShareHistory history, long now, PossibleHolders holders) {
		holders.addMembers(history.current().membership().members());
		history.pastMembershipsAt(now).forEach((past) -> holders.addMembers(past.membership().members()));
	}

	private void addPastMemberships(ShareHistory history, ClientAccount account, long now, PossibleHolders holders) {
		for (ShareHistory.PastMembership past : history.pastMembershipsAt(now)) {
			holders.include(this.homeHosts.homeHosts(account, past.membership()));
			holders.extendTakeover(past.supersededMillis());
		}
	}

	private int divisor(List<Member> homes) {
		return homes.stream().anyMatch(this::isSelf) ? homes.size() : 0;
	}

	private boolean isSelf(Member member) {
		return member.hostId().equals(this.self.hostId()) && member.processId().equals(this.self.processId());
	}

	/**
	 * Collects the smallest share of this host over several memberships, and the other
	 * members that hold a share in any of them.
	 */
	private final class PossibleHolders {

		private final Set<Member> members = new HashSet<>();

		private int divisor;

		private long takeoverMillis;

		PossibleHolders(int divisor, long takeoverMillis) {
			this.divisor = divisor;
			this.takeoverMillis = takeoverMillis;
		}

		void include(List<Member> homes) {
			int pastDivisor = SharePlanner.this.divisor(homes);
			this.divisor = (this.divisor == 0 || pastDivisor == 0) ? 0 : Math.max(this.divisor, pastDivisor);
			addMembers(homes);
		}

		void addMembers(Collection<Member> members) {
			members.stream().filter((member) -> !isSelf(member)).forEach(this.members::add);
		}

		void extendTakeover(long supersededMillis) {
			this.takeoverMillis = Math.max(this.takeoverMillis, supersededMillis + ShareHistory.TAKEOVER_MILLIS);
		}

	}

}
