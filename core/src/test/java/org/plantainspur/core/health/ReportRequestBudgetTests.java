package org.plantainspur.core.health;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an unbounded number of report requests and against delaying the request
 * that spreads a new verdict.
 */
class ReportRequestBudgetTests {

	private final ReportRequestBudget budget = new ReportRequestBudget();

	@Nested
	class ForMoreEvidence {

		@Test
		void waitsForTheInterval() {
			assertThat(ReportRequestBudgetTests.this.budget.take(1000)).isTrue();
			assertThat(ReportRequestBudgetTests.this.budget.take(1000 + ReportRequestBudget.INTERVAL_MILLIS - 1))
				.isFalse();
			assertThat(ReportRequestBudgetTests.this.budget.take(1000 + ReportRequestBudget.INTERVAL_MILLIS)).isTrue();
		}

	}

	@Nested
	class ForANewVerdict {

		@Test
		void doesNotWaitForTheInterval() {
			assertThat(ReportRequestBudgetTests.this.budget.take(1000)).isTrue();
			assertThat(ReportRequestBudgetTests.this.budget.takeForVerdict(1001)).isTrue();
		}

		@Test
		void isBoundedByTheSameTokens() {
			for (int i = 0; i < ReportRequestBudget.BURST; i++) {
				assertThat(ReportRequestBudgetTests.this.budget.takeForVerdict(1000)).isTrue();
			}
			assertThat(ReportRequestBudgetTests.this.budget.takeForVerdict(1000)).isFalse();
			assertThat(ReportRequestBudgetTests.this.budget.takeForVerdict(1000 + ReportRequestBudget.REFILL_MILLIS))
				.isTrue();
		}

	}

}
