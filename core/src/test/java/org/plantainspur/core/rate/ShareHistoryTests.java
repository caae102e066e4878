package org.plantainspur.core.rate;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.membership.Member;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two hosts that use the same share at the same time, because one of them
 * dropped a past membership or limit that the other may still act on.
 */
class ShareHistoryTests {

	private static Configuration append(Configuration before, Change change) {
		return before.apply(new ChangeEntry(before.sequence() + 1, "c", change));
	}

	private static Configuration join(Configuration before, String hostId) {
		return append(before, new Change.MemberJoined(Member.builder(hostId, "p-" + hostId).build()));
	}

	@Nested
	class SeveralChangesAtOnce {

		@Test
		void keepsTheMembershipInBetween() {
			Configuration first = join(Configuration.empty(), "a");
			Configuration second = join(first, "b");
			Configuration third = join(second, "c");
			ShareHistory history = ShareHistory.start(first, 0).advance(third, 9000);
			assertThat(history.pastMemberships()).extracting((past) -> past.membership().sequence())
				.containsExactly(1L, 2L);
			assertThat(history.knownFromMillis()).isZero();
		}

		@Test
		void moreChangesThanAreKeptMakeEarlierHoldersUnknown() {
			Configuration first = join(Configuration.empty(), "a");
			Configuration last = first;
			for (int i = 0; i < 20; i++) {
				last = join(last, "b" + i);
			}
			assertThat(ShareHistory.start(first, 0).advance(last, 9000).knownFromMillis()).isEqualTo(9000);
		}

	}

	@Nested
	class ProcessWaitingForASeat {

		@Test
		void requestToJoinMovesNoShares() {
			Configuration first = join(Configuration.empty(), "a");
			Configuration second = append(first,
					new Change.JoinRequested(Member.builder("b", "p-b").peerAddress("127.0.0.1:1").build()));
			ShareHistory history = ShareHistory.start(first, 0).advance(second, 9000);
			assertThat(history.knownFromMillis()).isZero();
			assertThat(history.pastMemberships()).isEmpty();
		}

	}

	@Nested
	class Takeover {

		@Test
		void membershipIsKeptUntilHostsAreFencedAndLoansHaveExpired() {
			// Fencing after 3,000 ms and loans of 300 ms, each plus 2% and 50 ms.
			assertThat(ShareHistory.TAKEOVER_MILLIS).isEqualTo(3110 + 356);
			Configuration first = join(Configuration.empty(), "a");
			Configuration second = join(first, "b");
			ShareHistory history = ShareHistory.start(first, 0).advance(second, 100);
			assertThat(history.pastMembershipsAt(100 + 3465)).hasSize(1);
			assertThat(history.pastMembershipsAt(100 + 3466)).isEmpty();
		}

	}

	@Nested
	class AccountLimits {

		@Test
		void earlierLimitsAreKept() {
			Configuration first = append(Configuration.empty(), new Change.PutAccount(new ClientAccount("a", 5, 4)));
			Configuration second = append(first, new Change.PutAccount(new ClientAccount("a", 5, 16)));
			ShareHistory history = ShareHistory.start(first, 0).advance(second, 100);
			assertThat(history.pastAccountsAt("a", 3400)).extracting(ShareHistory.PastAccount::account)
				.containsExactly(new ClientAccount("a", 5, 4));
		}

	}

}
