package org.plantainspur.core.rate;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.currency.CurrencyRule;
import org.plantainspur.core.peer.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against loans from fenced or resigned hosts, and against the state of idle
 * accounts that is dropped too early or never.
 */
class SharedRateLimiterTests extends SharedRateLimiterFixture {

	@Nested
	class Lender {

		private final SharedRateLimiter limiter = limiter(SharedRateLimiterTests.this.clock);

		private long lend() {
			return this.limiter.lend(new PeerMessage.Borrow("pdx-2", ACCOUNT.id(), 2000)).milliTokens();
		}

		@Test
		void fencedOrResignedHostDoesNotLend() {
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(SharedRateLimiterTests.this.self));
			SharedRateLimiterTests.this.clock.advance(10_000);
			SharedRateLimiterTests.this.currency.set(new CurrencyRule.Currency.Stale("cut off"));
			assertThat(lend()).isZero();
			SharedRateLimiterTests.this.currency.set(new CurrencyRule.Currency.Current());
			assertThat(lend()).isEqualTo(2000);
			SharedRateLimiterTests.this.clock.advance(5000);
			this.limiter.resign();
			assertThat(lend()).isZero();
		}

	}

	@Nested
	class IdleState {

		@Test
		void isDroppedWithoutGivingTokensTwice() {
			SharedRateLimiter limiter = limiter(SharedRateLimiterTests.this.clock);
			append(new Change.PutAccount(ACCOUNT));
			append(new Change.MemberJoined(SharedRateLimiterTests.this.self));
			SharedRateLimiterTests.this.clock.advance(10_000);
			assertThat(limiter.countAndTryTake(ACCOUNT)).isTrue();
			limiter.dropIdle();
			assertThat(limiter.accountCount()).isEqualTo(1);
			SharedRateLimiterTests.this.clock.advance(61_000);
			limiter.dropIdle();
			assertThat(limiter.accountCount()).isZero();
			assertThat(List.of(limiter.countAndTryTake(ACCOUNT), limiter.countAndTryTake(ACCOUNT),
					limiter.countAndTryTake(ACCOUNT), limiter.countAndTryTake(ACCOUNT)))
				.containsExactly(true, true, true, false);
		}

	}

}
