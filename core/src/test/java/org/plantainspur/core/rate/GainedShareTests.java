package org.plantainspur.core.rate;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.membership.Member;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a gained share that starts while an earlier holder may still use it or
 * borrowers may still spend that holder's loans, and against a start that unrelated
 * changes delay.
 */
class GainedShareTests extends SharedRateLimiterFixture {

	@Nested
	class GainedShare {

		private final SharedRateLimiter limiter = limiter(GainedShareTests.this.clock);

		private void gainShare() {
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(GainedShareTests.this.other));
			GainedShareTests.this.clock.advance(10_000);
			append(new Change.MemberJoined(GainedShareTests.this.self));
			append(new Change.MembersRemoved(List.of(GainedShareTests.this.other)));
			assertThat(this.limiter.countAndTryTake(ACCOUNT)).isFalse();
		}

		private long millisUntilGranted() {
			for (long waited = 0; waited < 10_000; waited++) {
				if (this.limiter.tryTake(ACCOUNT)) {
					return waited;
				}
				GainedShareTests.this.clock.advance(1);
			}
			return Long.MAX_VALUE;
		}

		@Test
		void startsOnceASilentEarlierHolderIsFenced() {
			gainShare();
			assertThat(millisUntilGranted()).isEqualTo(ShareHistory.TAKEOVER_MILLIS + 1);
		}

		@Test
		void startsOnceLoansOfTheReleasedHolderHaveExpired() {
			GainedShareTests.this.released.set(true);
			gainShare();
			assertThat(millisUntilGranted()).isEqualTo(ShareHistory.LOAN_OUTSTANDING_MILLIS + 1);
		}

		@Test
		void isNotDelayedByAnUnrelatedChange() {
			GainedShareTests.this.released.set(true);
			gainShare();
			GainedShareTests.this.clock.advance(300);
			append(new Change.PutAccount(new ClientAccount("tidewater", 5, 5)));
			assertThat(millisUntilGranted()).isEqualTo(ShareHistory.LOAN_OUTSTANDING_MILLIS - 300 + 1);
		}

	}

	@Nested
	class NewProcess {

		private final Member replacement = Member.builder("pdx-2", "p3").peerAddress("127.0.0.1:9").build();

		private long millisUntilGranted(SharedRateLimiter limiter) {
			for (long waited = 0; waited < 10_000; waited++) {
				if (limiter.countAndTryTake(ACCOUNT)) {
					return waited;
				}
				GainedShareTests.this.clock.advance(1);
			}
			return Long.MAX_VALUE;
		}

		@Test
		void doesNotWaitForFencingInAnEmptyFleet() {
			SharedRateLimiter limiter = limiter(GainedShareTests.this.clock);
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(GainedShareTests.this.self));
			assertThat(millisUntilGranted(limiter)).isEqualTo(ShareHistory.LOAN_OUTSTANDING_MILLIS + 1);
		}

		@Test
		void waitsForASilentMember() {
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(GainedShareTests.this.other));
			append(new Change.MemberJoined(GainedShareTests.this.self));
			assertThat(millisUntilGranted(limiter(GainedShareTests.this.clock)))
				.isEqualTo(ShareHistory.TAKEOVER_MILLIS + 1);
		}

		@Test
		void waitsForARemovedMemberThatIsNotFenced() {
			GainedShareTests.this.released.set(true);
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(GainedShareTests.this.other));
			append(new Change.MembersRemoved(List.of(GainedShareTests.this.other)));
			append(new Change.MemberJoined(GainedShareTests.this.self));
			assertThat(millisUntilGranted(limiter(GainedShareTests.this.clock)))
				.isEqualTo(ShareHistory.TAKEOVER_MILLIS + 1);
		}

		@Test
		void waitsForAMemberReplacedAtAnotherAddress() {
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(GainedShareTests.this.other));
			append(new Change.MemberJoined(GainedShareTests.this.self));
			SharedRateLimiter limiter = limiter(GainedShareTests.this.clock);
			append(new Change.MemberJoined(this.replacement));
			assertThat(millisUntilGranted(limiter)).isGreaterThanOrEqualTo(ShareHistory.TAKEOVER_MILLIS);
		}

	}

	@Nested
	class Restart {

		@Test
		void newProcessDoesNotUseTheShareOfTheOldOneAtOnce() {
			Member old = Member.builder("pdx-1", "p0").build();
			assertThat(Set.of(old, GainedShareTests.this.self)).hasSize(2);
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(old));
			SharedRateLimiter limiter = limiter(GainedShareTests.this.clock);
			GainedShareTests.this.clock.advance(10_000);
			assertThat(limiter.countAndTryTake(ACCOUNT)).isFalse();
			append(new Change.MemberJoined(GainedShareTests.this.self));
			GainedShareTests.this.clock.advance(ShareHistory.LOAN_OUTSTANDING_MILLIS - 1);
			assertThat(limiter.countAndTryTake(ACCOUNT)).isFalse();
		}

	}

}
