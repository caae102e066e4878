package org.plantainspur.core.health;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.plantainspur.core.routing.Target;
import org.plantainspur.core.testing.ConcurrentCalls;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against a host that ejects a target on its own evidence, that lowers a weight
 * without evidence or permanently, or that keeps the full weight of a target that fails
 * its requests.
 */
@Timeout(60)
class LocalWeightsTests {

	private static final Target TARGET = HealthFixtures.target(1, 4);

	private final ManualClock clock = new ManualClock().advance(10_000);

	private final LocalWeights weights = new LocalWeights(this.clock);

	private void record(Target target, OutcomeRecorder.Kind kind, int times) {
		for (int i = 0; i < times; i++) {
			this.weights.record(new OutcomeRecorder.Outcome(target, "harbor-clinic", "f" + i, kind, 10));
		}
	}

	private double weight() {
		return this.weights.weight(TARGET.id());
	}

	@Nested
	class Evidence {

		@ParameterizedTest
		@EnumSource(value = OutcomeRecorder.Kind.class, names = { "FAILURE", "TIMEOUT", "CONNECT_FAILURE", "RESET" })
		void ofEachKindOfFailureLowersTheWeight(OutcomeRecorder.Kind kind) {
			record(TARGET, kind, 4);
			assertThat(weight()).isBetween(0.35, 0.45);
		}

		@Test
		void ofOneFailureAmongSuccessesLeavesTheFullWeight() {
			for (int i = 0; i < 50; i++) {
				record(TARGET, OutcomeRecorder.Kind.SUCCESS, 9);
				record(TARGET, OutcomeRecorder.Kind.FAILURE, 1);
				assertThat(weight()).isEqualTo(1);
			}
		}

		@Test
		void ofOverloadLeavesTheFullWeight() {
			record(TARGET, OutcomeRecorder.Kind.SHED, 100);
			assertThat(weight()).isEqualTo(1);
		}

		@Test
		void againstOneTargetDoesNotCountAgainstAnother() {
			record(HealthFixtures.target(2, 4), OutcomeRecorder.Kind.FAILURE, 100);
			assertThat(weight()).isEqualTo(1);
		}

	}

	@Nested
	class Weight {

		@Test
		void neverFallsBelowTenPercentSinceOnlyACoordinatorEjects() {
			record(TARGET, OutcomeRecorder.Kind.TIMEOUT, 1000);
			assertThat(weight()).isEqualTo(CapacityFloor.MIN_WEIGHT);
		}

		@Test
		void risesAgainWithSuccesses() {
			record(TARGET, OutcomeRecorder.Kind.RESET, 100);
			record(TARGET, OutcomeRecorder.Kind.SUCCESS, 10);
			assertThat(weight()).isEqualTo(1);
		}

		@Test
		void risesAgainWithTimeIfTheTargetGetsNoRequests() {
			record(TARGET, OutcomeRecorder.Kind.RESET, 100);
			LocalWeightsTests.this.clock.advance(5000);
			assertThat(weight()).isBetween(0.3, 0.5);
			LocalWeightsTests.this.clock.advance(10_000);
			assertThat(weight()).isEqualTo(1);
		}

		@Test
		void ofATargetThatLeftAndReturnedIsFull() {
			record(TARGET, OutcomeRecorder.Kind.CONNECT_FAILURE, 100);
			LocalWeightsTests.this.weights.targetLeaving(TARGET);
			assertThat(weight()).isEqualTo(1);
		}

	}

	@Nested
	class Threads {

		private static final int THREADS = 8;

		private static final int TARGETS = 2000;

		@Test
		void loseNoOutcomeEvenIfTheyAreTheFirstOfATarget() throws Exception {
			assertThat(ConcurrentCalls.onEachThread(THREADS, this::failOnceAtEachTarget)).hasSize(THREADS)
				.containsOnly(TARGETS);
			for (int i = 0; i < TARGETS; i++) {
				assertThat(LocalWeightsTests.this.weights.weight("t" + i)).as("target %s", i)
					.isCloseTo(Math.pow(0.8, THREADS), within(1e-9));
			}
		}

		private int failOnceAtEachTarget() {
			for (int i = 0; i < TARGETS; i++) {
				record(HealthFixtures.target(i, 4), OutcomeRecorder.Kind.FAILURE, 1);
			}
			return TARGETS;
		}

	}

}
