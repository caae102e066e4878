package org.plantainspur.core.store;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class ChangeDelayBudgetTests {

	private static ChangeDelayBudget budget(long applyMs) {
		return ChangeDelayBudget.builder().applyMs(applyMs).build();
	}

	/** Guards against a wait that grows until changes come into use late. */
	@Nested
	class Sums {

		@Test
		void ofAllOrdersButTheEndOfTheReaderAreWithinTheGoal() {
			ChangeDelayBudget budget = budget(2_500);
			assertThat(budget.goalMs()).isEqualTo(1_000);
			assertThat(budget.orders()).filteredOn((order) -> !order.name().equals("the reader ends"))
				.allSatisfy((order) -> assertThat(order.sumMs()).as(order.name()).isLessThanOrEqualTo(1_000));
		}

		@Test
		void areWithinHalfOfTheTimeUntilAChangeMustBeInForce() {
			assertThat(budget(2_500).orders())
				.allSatisfy((order) -> assertThat(order.sumMs()).isLessThanOrEqualTo(1_250));
		}

		@Test
		void areWithinTheShortestTimeThatIsAllowed() {
			assertThat(budget(ChangeDelayBudget.MIN_APPLY_MS).orders())
				.allSatisfy((order) -> assertThat(order.sumMs()).as(order.name())
					.isLessThanOrEqualTo(ChangeDelayBudget.MIN_APPLY_MS));
		}

	}

	/** Guards against settings with which changes cannot be in force in time. */
	@Nested
	class Check {

		@Test
		void namesTheShortestTime() {
			assertThatIllegalArgumentException().isThrownBy(() -> budget(ChangeDelayBudget.MIN_APPLY_MS - 1))
				.withMessageContaining("at least " + ChangeDelayBudget.MIN_APPLY_MS + " ms");
		}

	}

	/** Guards against refused calls, which are billed, that grow with the fleet. */
	@Nested
	class Retries {

		@Test
		void ofLargeFailureDomainsAreSpacedFurther() {
			assertThat(budget(2_500).retryIntervalMs(12)).isEqualTo(500);
			assertThat(budget(2_500).retryIntervalMs(136)).isEqualTo(4_250);
		}

	}

}
