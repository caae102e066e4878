package org.plantainspur.core.rate;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a share whose level and outstanding loans together exceed its burst.
 */
class ShareTests {

	private static final long BURST = 10 * Amounts.TOKEN;

	/** One token in 100 ms. */
	private static final long PER_MILLI = Amounts.TOKEN / 100;

	private final Share full = Share.empty(0).limits(PER_MILLI, BURST, 0).advance(1000);

	@Nested
	class Loans {

		@Test
		void refillWhileLentIsCreditedAtTheEndOfTheLoan() {
			Share lent = ShareTests.this.full.lend(BURST, 2000);
			assertThat(lent.advance(1999).level()).isZero();
			assertThat(lent.advance(2000).level()).isZero();
			assertThat(lent.advance(2100).level()).isEqualTo(Amounts.TOKEN);
		}

		@Test
		void mergedLoansEndTooEarly() {
			Share lent = ShareTests.this.full.lend(Amounts.TOKEN, 2000).lend(Amounts.TOKEN, 2049).lend(1, 2050);
			assertThat(lent.loans()).hasSize(2);
			assertThat(lent.advance(2048).lent()).isEqualTo(2 * Amounts.TOKEN + 1);
			assertThat(lent.advance(2049).lent()).isEqualTo(1);
		}

		@Test
		void smallerBurstForgetsLoansThatAreOut() {
			Share lent = ShareTests.this.full.lend(4 * Amounts.TOKEN, 2000);
			assertThat(lent.limits(PER_MILLI, 5 * Amounts.TOKEN, 1000).level()).isEqualTo(Amounts.TOKEN);
			assertThat(lent.limits(PER_MILLI, 3 * Amounts.TOKEN, 1000).level()).isZero();
		}

	}

	@Nested
	class Limits {

		@Test
		void lostShareKeepsItsTokens() {
			assertThat(ShareTests.this.full.limits(0, 0, 1000).advance(9000).level()).isZero();
		}

		@Test
		void largerBurstIsFilledAtOnce() {
			assertThat(ShareTests.this.full.limits(PER_MILLI, 2 * BURST, 1000).level()).isEqualTo(BURST);
		}

		@Test
		void longPauseOverflows() {
			Share share = Share.empty(0).limits(1_000_000 * Amounts.MILLI_TOKEN, BURST, 0);
			assertThat(share.advance(Long.MAX_VALUE / 2).level()).isEqualTo(BURST);
		}

	}

}
