package org.plantainspur.core.health;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a full ejection budget that is used for targets that fail less than
 * others, and against swaps that exceed the budget or alternate. The budget is three
 * targets. Each test starts after {@code t0}, {@code t1} and {@code t2} have been ejected
 * for the second time, which lasts 10 s.
 */
class EjectionSwapTests {

	/** The verdict lifetime of 2500 ms, lengthened by the clock margin. */
	private static final long CHARGE_DURATION_MILLIS = 2600;

	private final ManualClock clock = new ManualClock();

	private final Set<String> unhealthy = new HashSet<>(Set.of("t0", "t1", "t2"));

	/** The number of failures among 20 outcomes in each report, by target id. */
	private final Map<String, Integer> failures = new HashMap<>();

	private final HealthCoordinator coordinator = new HealthCoordinator(HealthFixtures.SERVICE, this.clock,
			new StubDetector(), () -> HealthFixtures.targets(10, 4), () -> 0.7, () -> true);

	@BeforeEach
	void ejectThreeTargetsAgain() {
		this.coordinator.updateMembership(1, HealthFixtures.members(2), true);
		this.clock.advance(6000);
		report();
		this.clock.advance(5000);
		report();
		this.failures.putAll(Map.of("t0", 8, "t1", 10, "t2", 12));
		report();
		this.failures.clear();
		this.clock.advance(5000);
		assertThat(report()).containsExactlyInAnyOrder("t0", "t1", "t2");
	}

	private Set<String> report() {
		List<PeerMessage.TargetEvidence> evidence = this.failures.entrySet()
			.stream()
			.map((entry) -> HealthFixtures.evidence(entry.getKey(),
					HealthFixtures.account("a", 20 - entry.getValue(), entry.getValue())))
			.toList();
		Set<String> ejected = new HashSet<>();
		this.coordinator.report(new PeerMessage.Report("h0", "p0", 1, HealthFixtures.SERVICE, evidence, List.of()))
			.verdicts()
			.stream()
			.filter(PeerMessage.Verdict::ejected)
			.forEach((verdict) -> ejected.add(verdict.targetId()));
		return ejected;
	}

	private void markUnhealthy(String id, int failuresOfTwenty) {
		this.unhealthy.add(id);
		this.failures.put(id, failuresOfTwenty);
	}

	@Nested
	class OverBudgetTarget {

		@Test
		void thatFailsClearlyMoreReplacesTheOneThatFailsLeast() {
			markUnhealthy("t5", 18);
			assertThat(report()).containsExactlyInAnyOrder("t1", "t2");
			EjectionSwapTests.this.clock.advance(CHARGE_DURATION_MILLIS);
			assertThat(report()).containsExactlyInAnyOrder("t1", "t2", "t5");
		}

		@Test
		void isNotEjectedWhileAHostMayHoldTheReleasedEjection() {
			markUnhealthy("t5", 18);
			report();
			EjectionSwapTests.this.clock.advance(CHARGE_DURATION_MILLIS - 1);
			assertThat(report()).containsExactlyInAnyOrder("t1", "t2");
		}

		@Test
		void thatFailsLittleMoreReplacesNone() {
			markUnhealthy("t5", 12);
			assertThat(report()).containsExactlyInAnyOrder("t0", "t1", "t2");
		}

		@Test
		void withFewOutcomesReplacesNone() {
			EjectionSwapTests.this.unhealthy.add("t5");
			assertThat(report()).containsExactlyInAnyOrder("t0", "t1", "t2");
		}

		@Test
		void keepsItsReservedBudgetWhileItWaits() {
			markUnhealthy("t5", 18);
			report();
			EjectionSwapTests.this.clock.advance(CHARGE_DURATION_MILLIS - 100);
			markUnhealthy("t4", 16);
			report();
			EjectionSwapTests.this.clock.advance(100);
			assertThat(report()).containsExactlyInAnyOrder("t1", "t2", "t5");
		}

		@Test
		void thatRecoversFreesTheBudgetForOthers() {
			markUnhealthy("t5", 18);
			report();
			EjectionSwapTests.this.unhealthy.remove("t5");
			EjectionSwapTests.this.clock.advance(CHARGE_DURATION_MILLIS);
			assertThat(report()).containsExactlyInAnyOrder("t0", "t1", "t2");
		}

	}

	@Nested
	class TargetsWithSimilarFailureRates {

		/**
		 * Guards against repeated swaps when two failure rates cross each other again and
		 * again.
		 */
		@Test
		void doNotAlternate() {
			EjectionSwapTests.this.unhealthy.removeAll(Set.of("t1", "t2"));
			int transitions = 0;
			boolean wasEjected = true;
			for (int i = 0; i < 100; i++) {
				boolean otherFailsMore = i / 20 % 2 == 0;
				markUnhealthy("t0", otherFailsMore ? 9 : 13);
				markUnhealthy("t5", otherFailsMore ? 13 : 9);
				boolean isEjected = report().contains("t0");
				transitions += (isEjected != wasEjected) ? 1 : 0;
				wasEjected = isEjected;
				EjectionSwapTests.this.clock.advance(40);
			}
			assertThat(transitions).isZero();
		}

		/**
		 * Guards against swapping back after a clear difference: a released target causes
		 * no swap for a minute, however much it fails.
		 */
		@Test
		void doNotAlternateAfterASwap() {
			markUnhealthy("t5", 18);
			report();
			EjectionSwapTests.this.clock.advance(CHARGE_DURATION_MILLIS);
			EjectionSwapTests.this.failures.putAll(Map.of("t0", 20, "t1", 10, "t2", 12));
			long millis = CHARGE_DURATION_MILLIS;
			while (millis < EjectionSwap.SWAP_COOLDOWN_MILLIS) {
				assertThat(report()).as("after %d ms", millis).containsExactlyInAnyOrder("t1", "t2", "t5");
				EjectionSwapTests.this.clock.advance(100);
				millis += 100;
			}
			assertThat(report()).as("after a minute").containsExactlyInAnyOrder("t2", "t5");
		}

	}

	/** Finds those targets unhealthy that the test has marked. */
	private final class StubDetector implements OutlierDetector {

		@Override
		public void observe(Observation observation) {
		}

		@Override
		public Assessment assess(String targetId) {
			return EjectionSwapTests.this.unhealthy.contains(targetId) ? new Assessment(true, 20, Set.of(), "given")
					: Assessment.HEALTHY;
		}

		@Override
		public void readmitted(String targetId) {
		}

		@Override
		public void retain(Collection<String> targetIds) {
		}

	}

}
