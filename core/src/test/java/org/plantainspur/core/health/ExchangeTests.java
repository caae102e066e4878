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
 * Guards against a full budget that is spent on targets that fail less than others, and
 * against exchanges that exceed the budget or alternate. The budget is three targets,
 * which are ejected for the second time, for 10 s.
 */
class ExchangeTests {

	private static final long CHARGED_MILLIS = 2600;

	private final ManualClock clock = new ManualClock();

	private final Set<String> sick = new HashSet<>(Set.of("t0", "t1", "t2"));

	/** Failures among 20 outcomes in each report, by target. */
	private final Map<String, Integer> failures = new HashMap<>();

	private final HealthCoordinator coordinator = new HealthCoordinator(HealthFixtures.SERVICE, this.clock,
			new GivenJudge(), () -> HealthFixtures.targets(10, 4), () -> 0.7, () -> true);

	@BeforeEach
	void ejectThreeFor10Seconds() {
		this.coordinator.follow(1, HealthFixtures.members(2), true);
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

	private void findSick(String id, int failuresOfTwenty) {
		this.sick.add(id);
		this.failures.put(id, failuresOfTwenty);
	}

	@Nested
	class OtherTarget {

		@Test
		void thatFailsClearlyMoreReplacesTheOneThatFailsLeast() {
			findSick("t5", 18);
			assertThat(report()).containsExactlyInAnyOrder("t1", "t2");
			ExchangeTests.this.clock.advance(CHARGED_MILLIS);
			assertThat(report()).containsExactlyInAnyOrder("t1", "t2", "t5");
		}

		@Test
		void isNotEjectedWhileAHostMayHoldTheOneGivenBack() {
			findSick("t5", 18);
			report();
			ExchangeTests.this.clock.advance(CHARGED_MILLIS - 1);
			assertThat(report()).containsExactlyInAnyOrder("t1", "t2");
		}

		@Test
		void thatFailsLittleMoreReplacesNone() {
			findSick("t5", 12);
			assertThat(report()).containsExactlyInAnyOrder("t0", "t1", "t2");
		}

		@Test
		void withFewOutcomesReplacesNone() {
			ExchangeTests.this.sick.add("t5");
			assertThat(report()).containsExactlyInAnyOrder("t0", "t1", "t2");
		}

		@Test
		void losesItsPlaceToNoneWhileItWaits() {
			findSick("t5", 18);
			report();
			ExchangeTests.this.clock.advance(CHARGED_MILLIS - 100);
			findSick("t4", 16);
			report();
			ExchangeTests.this.clock.advance(100);
			assertThat(report()).containsExactlyInAnyOrder("t1", "t2", "t5");
		}

		@Test
		void thatRecoversLeavesThePlaceToOthers() {
			findSick("t5", 18);
			report();
			ExchangeTests.this.sick.remove("t5");
			ExchangeTests.this.clock.advance(CHARGED_MILLIS);
			assertThat(report()).containsExactlyInAnyOrder("t0", "t1", "t2");
		}

	}

	@Nested
	class TwoTargetsOfSimilarHealth {

		/** Their shares of failures cross again and again. */
		@Test
		void doNotAlternate() {
			ExchangeTests.this.sick.removeAll(Set.of("t1", "t2"));
			int changes = 0;
			boolean first = true;
			for (int i = 0; i < 100; i++) {
				boolean swap = i / 20 % 2 == 0;
				findSick("t0", swap ? 9 : 13);
				findSick("t5", swap ? 13 : 9);
				boolean now = report().contains("t0");
				changes += (now != first) ? 1 : 0;
				first = now;
				ExchangeTests.this.clock.advance(40);
			}
			assertThat(changes).isZero();
		}

		/**
		 * Also after a clear difference: the target that was given back takes no place
		 * for a minute, however much it fails.
		 */
		@Test
		void doNotAlternateAfterAnExchange() {
			findSick("t5", 18);
			report();
			ExchangeTests.this.clock.advance(CHARGED_MILLIS);
			ExchangeTests.this.failures.putAll(Map.of("t0", 20, "t1", 10, "t2", 12));
			long millis = CHARGED_MILLIS;
			while (millis < Exchange.REST_MILLIS) {
				assertThat(report()).as("after %d ms", millis).containsExactlyInAnyOrder("t1", "t2", "t5");
				ExchangeTests.this.clock.advance(100);
				millis += 100;
			}
			assertThat(report()).as("after a minute").containsExactlyInAnyOrder("t2", "t5");
		}

	}

	/** Finds sick what the test says. */
	private final class GivenJudge implements HealthJudge {

		@Override
		public void observe(Observation observation) {
		}

		@Override
		public Assessment assess(String targetId) {
			return ExchangeTests.this.sick.contains(targetId) ? new Assessment(true, 20, Set.of(), "given")
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
