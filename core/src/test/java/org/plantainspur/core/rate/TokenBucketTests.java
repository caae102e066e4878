package org.plantainspur.core.rate;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a bucket whose level and outstanding loans together exceed its burst.
 */
class TokenBucketTests {

	private static final long BURST = 10 * TokenAmounts.TOKEN;

	/** One token in 100 ms. */
	private static final long PER_MILLI = TokenAmounts.TOKEN / 100;

	private final TokenBucket full = TokenBucket.empty(0).withLimits(PER_MILLI, BURST, 0).advance(1000);

	@Nested
	class Loans {

		@Test
		void refillDuringALoanIsNotCreditedWhenTheLoanExpires() {
			TokenBucket lent = TokenBucketTests.this.full.lend(BURST, 2000);
			assertThat(lent.advance(1999).level()).isZero();
			assertThat(lent.advance(2000).level()).isZero();
			assertThat(lent.advance(2100).level()).isEqualTo(TokenAmounts.TOKEN);
		}

		@Test
		void mergedLoansExpireWithTheLastOfThem() {
			TokenBucket lent = TokenBucketTests.this.full.lend(TokenAmounts.TOKEN, 2000)
				.lend(TokenAmounts.TOKEN, 2049)
				.lend(1, 2050);
			assertThat(lent.loans()).hasSize(2);
			assertThat(lent.advance(2048).outstanding()).isEqualTo(2 * TokenAmounts.TOKEN + 1);
			assertThat(lent.advance(2049).outstanding()).isEqualTo(1);
		}

		@Test
		void smallerBurstCountsOutstandingLoans() {
			TokenBucket lent = TokenBucketTests.this.full.lend(4 * TokenAmounts.TOKEN, 2000);
			assertThat(lent.withLimits(PER_MILLI, 5 * TokenAmounts.TOKEN, 1000).level()).isEqualTo(TokenAmounts.TOKEN);
			assertThat(lent.withLimits(PER_MILLI, 3 * TokenAmounts.TOKEN, 1000).level()).isZero();
		}

	}

	@Nested
	class Limits {

		@Test
		void lostShareLosesItsTokens() {
			assertThat(TokenBucketTests.this.full.withLimits(0, 0, 1000).advance(9000).level()).isZero();
		}

		@Test
		void largerBurstIsNotFilledAtOnce() {
			assertThat(TokenBucketTests.this.full.withLimits(PER_MILLI, 2 * BURST, 1000).level()).isEqualTo(BURST);
		}

		@Test
		void longPauseDoesNotOverflow() {
			TokenBucket share = TokenBucket.empty(0).withLimits(1_000_000 * TokenAmounts.MILLI_TOKEN, BURST, 0);
			assertThat(share.advance(Long.MAX_VALUE / 2).level()).isEqualTo(BURST);
		}

	}

}
