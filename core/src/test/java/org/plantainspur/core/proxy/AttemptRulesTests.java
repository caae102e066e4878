package org.plantainspur.core.proxy;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.desired.RouteRule;
import org.plantainspur.core.desired.ServiceShare;
import org.plantainspur.core.target.AttemptOutcome;
import org.plantainspur.core.time.HandClock;

import static org.assertj.core.api.Assertions.assertThat;

class AttemptRulesTests {

	private final HandClock clock = new HandClock();

	private final RetryBudget budget = new RetryBudget(this.clock, 0.1, 10, 10_000);

	private final AttemptRules rules = new AttemptRules(this.budget);

	private static RouteRule route(boolean idempotent) {
		return new RouteRule("r", "h", "/", idempotent, 1_000, 500, 0, List.of(new ServiceShare("s", 1)), 2, false);
	}

	private AttemptRules.Next after(boolean idempotent, AttemptOutcome outcome) {
		return this.rules.after(route(idempotent), "s", outcome, 1, 0, false);
	}

	@Nested
	class NonIdempotent {

		@Test
		void isNeverSentAgainOnceItMayHaveRun() {
			assertThat(after(false, new AttemptOutcome.Broken("reset")))
				.isEqualTo(new AttemptRules.Refuse(Refusal.BROKEN));
			assertThat(after(false, new AttemptOutcome.TimedOut()))
				.isEqualTo(new AttemptRules.Refuse(Refusal.TIMED_OUT));
			assertThat(after(false, new AttemptOutcome.Answered(500, false))).isEqualTo(new AttemptRules.Deliver());
		}

		@Test
		void goesToAnotherTargetWhenItHasNotRun() {
			assertThat(after(false, new AttemptOutcome.Declined(503, false))).isEqualTo(new AttemptRules.Retry());
			assertThat(after(false, new AttemptOutcome.NotSent("refused"))).isEqualTo(new AttemptRules.Retry());
		}

		@Test
		void isNeverToldThatItHasNotRunWhenItMayHave() {
			assertThat(Refusal.BROKEN.notRun()).isFalse();
			assertThat(Refusal.TIMED_OUT.notRun()).isFalse();
			for (Refusal refusal : Refusal.values()) {
				if (!refusal.notRun()) {
					assertThat(refusal.status()).isNotIn(429, 503, 408, 421);
				}
			}
		}

	}

	@Nested
	class Idempotent {

		@Test
		void isSentAgainAfterAnyFailureWithinTheRoutesAttempts() {
			assertThat(after(true, new AttemptOutcome.Broken("reset"))).isEqualTo(new AttemptRules.Retry());
			assertThat(AttemptRulesTests.this.rules.after(route(true), "s", new AttemptOutcome.Broken("reset"), 2, 0,
					false))
				.isEqualTo(new AttemptRules.Refuse(Refusal.BROKEN));
		}

		@Test
		void isNotSentAgainWhenItsTimeIsUp() {
			assertThat(AttemptRulesTests.this.rules.after(route(true), "s", new AttemptOutcome.TimedOut(), 1, 0, true))
				.isEqualTo(new AttemptRules.Refuse(Refusal.TIMED_OUT));
		}

	}

	@Nested
	class Budget {

		@Test
		void retriesEndWithTheBudget() {
			for (int i = 0; i < 5; i++) {
				assertThat(after(true, new AttemptOutcome.Broken("reset"))).isEqualTo(new AttemptRules.Retry());
			}
			assertThat(after(true, new AttemptOutcome.Broken("reset")))
				.isEqualTo(new AttemptRules.Refuse(Refusal.BROKEN));
		}

		@Test
		void theConstantFlowsBackOverTheWindow() {
			int taken = 0;
			for (int i = 0; i < 100; i++) {
				taken += AttemptRulesTests.this.budget.tryTake("s") ? 1 : 0;
				AttemptRulesTests.this.clock.advance(100);
			}
			assertThat(taken).as("in one window, of a constant of 10").isBetween(9, 10);
		}

		@Test
		void aRequestThatAllTargetsOfItsRouteDeclinedIsOfferedToThemAgain() {
			RouteRule route = route(false);
			AttemptOutcome declined = new AttemptOutcome.Declined(503, false);
			assertThat(AttemptRulesTests.this.rules.after(route, "s", declined, 1, 0, false))
				.isEqualTo(new AttemptRules.Retry());
			assertThat(AttemptRulesTests.this.rules.after(route, "s", declined, 2, 0, false))
				.isEqualTo(new AttemptRules.RetryTried());
			assertThat(AttemptRulesTests.this.rules.after(route, "s", declined, 4, 0, false))
				.isEqualTo(new AttemptRules.Refuse(Refusal.ALL_DECLINED));
		}

		/**
		 * Each of 36 hosts had the part of the constant that was meant for each of the 8
		 * that carry traffic, and requests on the others were repeated out of it: 170
		 * attempts beyond the first in 10 s, where 139 were allowed.
		 */
		@Test
		void theFleetKeepsItsBudgetThoughMostHostsOnlyStandBy() {
			HandClock clock = AttemptRulesTests.this.clock;
			List<RetryBudget> hosts = new ArrayList<>();
			for (int i = 0; i < 36; i++) {
				RetryBudget host = new RetryBudget(clock, 0.2 * 0.7, 58 * 0.7 / 8, 10_000);
				host.carries(i < 8);
				hosts.add(host);
			}
			int repeated = 0;
			for (int request = 0; request < 403; request++) {
				int number = (request % 4 == 0) ? 8 + (request / 4) % 28 : request % 8;
				RetryBudget host = hosts.get(number);
				host.earn("s");
				while (host.tryTake("s")) {
					repeated++;
				}
				clock.advance(24);
			}
			assertThat(repeated).isLessThanOrEqualTo((int) (0.2 * 403 + 58));
		}

		@Test
		void tenRequestsEarnOneRetryAtARatioOfATenth() {
			RetryBudget empty = new RetryBudget(AttemptRulesTests.this.clock, 0.1, 2, 10_000);
			assertThat(empty.tryTake("s")).isTrue();
			assertThat(empty.tryTake("s")).isFalse();
			for (int i = 0; i < 10; i++) {
				empty.earn("s");
			}
			assertThat(empty.tryTake("s")).isTrue();
			assertThat(empty.tryTake("s")).isFalse();
		}

	}

	/**
	 * The last attempt was placed like the first one, on targets of which little is
	 * known, and many idempotent requests failed twice.
	 */
	@Nested
	class LastAttempts {

		@Test
		void onlyAnAttemptThatCanBeFollowedByAnotherIsRepeatable() {
			assertThat(AttemptRulesTests.this.rules.repeatable(route(true), "s", 0)).isTrue();
			assertThat(AttemptRulesTests.this.rules.repeatable(route(true), "s", 1)).isFalse();
			assertThat(AttemptRulesTests.this.rules.repeatable(route(false), "s", 0)).isFalse();
		}

		@Test
		void noAttemptIsRepeatableWhenTheBudgetIsNearlyUsedUp() {
			while (AttemptRulesTests.this.budget.ample("s")) {
				AttemptRulesTests.this.budget.tryTake("s");
			}
			assertThat(AttemptRulesTests.this.rules.repeatable(route(true), "s", 0)).isFalse();
			assertThat(AttemptRulesTests.this.budget.tryTake("s")).as("some is left").isTrue();
		}

	}

}
