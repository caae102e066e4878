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
 * Guards against shares that start too early, and against starts that unrelated changes
 * delay.
 */
class GainedShareTests extends LimiterFixture {

	@Nested
	class GainedShare {

		private final SharedRateLimiter limiter = limiter(GainedShareTests.this.clock);

		private void gain() {
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(GainedShareTests.this.other));
			GainedShareTests.this.clock.advance(10_000);
			append(new Change.MemberJoined(GainedShareTests.this.self));
			append(new Change.MembersRemoved(List.of(GainedShareTests.this.other)));
			assertThat(this.limiter.arrive(ACCOUNT)).isFalse();
		}

		private long millisUntilGranted() {
			for (long waited = 0; waited < 10_000; waited++) {
				if (this.limiter.take(ACCOUNT)) {
					return waited;
				}
				GainedShareTests.this.clock.advance(1);
			}
			return Long.MAX_VALUE;
		}

		@Test
		void startsBeforeTheSilentEarlierHolderIsFenced() {
			gain();
			assertThat(millisUntilGranted()).isEqualTo(ShareHistory.TAKEOVER_MILLIS + 1);
		}

		@Test
		void startsBeforeLoansOfTheReleasedHolderHaveEnded() {
			GainedShareTests.this.released.set(true);
			gain();
			assertThat(millisUntilGranted()).isEqualTo(ShareHistory.LOAN_OUT_MILLIS + 1);
		}

		@Test
		void unrelatedChangeDelaysTheStart() {
			GainedShareTests.this.released.set(true);
			gain();
			GainedShareTests.this.clock.advance(300);
			append(new Change.PutAccount(new ClientAccount("tidewater", 5, 5)));
			assertThat(millisUntilGranted()).isEqualTo(ShareHistory.LOAN_OUT_MILLIS - 300 + 1);
		}

	}

	@Nested
	class FreshProcess {

		private final Member moved = Member.builder("pdx-2", "p3").peerAddress("127.0.0.1:9").build();

		private long millisUntilGranted(SharedRateLimiter limiter) {
			for (long waited = 0; waited < 10_000; waited++) {
				if (limiter.arrive(ACCOUNT)) {
					return waited;
				}
				GainedShareTests.this.clock.advance(1);
			}
			return Long.MAX_VALUE;
		}

		@Test
		void firstMemberOfAnEmptyFleetWaitsForFencing() {
			SharedRateLimiter limiter = limiter(GainedShareTests.this.clock);
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(GainedShareTests.this.self));
			assertThat(millisUntilGranted(limiter)).isEqualTo(ShareHistory.LOAN_OUT_MILLIS + 1);
		}

		@Test
		void silentMemberMayStillHoldAShare() {
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(GainedShareTests.this.other));
			append(new Change.MemberJoined(GainedShareTests.this.self));
			assertThat(millisUntilGranted(limiter(GainedShareTests.this.clock)))
				.isEqualTo(ShareHistory.TAKEOVER_MILLIS + 1);
		}

		@Test
		void removedMemberThatIsNotFencedMayStillHoldAShare() {
			GainedShareTests.this.released.set(true);
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(GainedShareTests.this.other));
			append(new Change.MembersRemoved(List.of(GainedShareTests.this.other)));
			append(new Change.MemberJoined(GainedShareTests.this.self));
			assertThat(millisUntilGranted(limiter(GainedShareTests.this.clock)))
				.isEqualTo(ShareHistory.TAKEOVER_MILLIS + 1);
		}

		@Test
		void processAtAnotherAddressProvesNothing() {
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(GainedShareTests.this.other));
			append(new Change.MemberJoined(GainedShareTests.this.self));
			SharedRateLimiter limiter = limiter(GainedShareTests.this.clock);
			append(new Change.MemberJoined(this.moved));
			assertThat(millisUntilGranted(limiter)).isGreaterThanOrEqualTo(ShareHistory.TAKEOVER_MILLIS);
		}

	}

	@Nested
	class Restart {

		@Test
		void newProcessIsNotToldApartFromTheOld() {
			Member old = Member.builder("pdx-1", "p0").build();
			assertThat(Set.of(old, GainedShareTests.this.self)).hasSize(2);
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(old));
			SharedRateLimiter limiter = limiter(GainedShareTests.this.clock);
			GainedShareTests.this.clock.advance(10_000);
			assertThat(limiter.arrive(ACCOUNT)).isFalse();
			append(new Change.MemberJoined(GainedShareTests.this.self));
			GainedShareTests.this.clock.advance(ShareHistory.LOAN_OUT_MILLIS - 1);
			assertThat(limiter.arrive(ACCOUNT)).isFalse();
		}

	}

}
