package org.plantainspur.core.routing;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.health.OutcomeRecorder;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against retries that continue during an overload, and against one busy target
 * that stops the retries of a whole service.
 */
class TargetLoadSheddingDetectorTests {

	private final ManualClock clock = new ManualClock().advance(10_000);

	private final AdaptiveLimits limits = new AdaptiveLimits(this.clock);

	private final AtomicReference<TargetDirectory> directory = new AtomicReference<>(TargetDirectory
		.of(List.of(target("a", 2, false), target("b", 1, false), target("c", 1, false), target("d", 9, true))));

	private final LoadSheddingDetector detector = new TargetLoadSheddingDetector(this.directory, this.limits);

	private static Target target(String id, int slots, boolean leaving) {
		return new Target(id, "booking", "127.0.0.1:9", "pdx", "pdx-a", slots, 400, leaving);
	}

	private void recordRefusals(String... ids) {
		for (String id : ids) {
			this.limits.record(new OutcomeRecorder.Outcome(target(id, 1, false), "harbor-clinic", "f",
					OutcomeRecorder.Kind.SHED, 1));
		}
	}

	private boolean shedding() {
		return this.detector.shedding("booking");
	}

	@Nested
	class Service {

		@Test
		void shedsIfTargetsWithHalfOfItsSlotsDo() {
			recordRefusals("b");
			assertThat(shedding()).isFalse();
			recordRefusals("c");
			assertThat(shedding()).isTrue();
		}

		@Test
		void shedsIfOneTargetWithHalfOfItsSlotsDoes() {
			recordRefusals("a");
			assertThat(shedding()).isTrue();
		}

		@Test
		void doesNotShedBecauseATargetThatIsLeavingRefuses() {
			recordRefusals("d");
			assertThat(shedding()).isFalse();
		}

		@Test
		void shedsNoLongerThanTwoSecondsAfterTheLastRefusal() {
			recordRefusals("a");
			TargetLoadSheddingDetectorTests.this.clock.advance(1999);
			assertThat(shedding()).isTrue();
			TargetLoadSheddingDetectorTests.this.clock.advance(1);
			assertThat(shedding()).isFalse();
		}

		@Test
		void withoutTargetsDoesNotShed() {
			assertThat(TargetLoadSheddingDetectorTests.this.detector.shedding("offers")).isFalse();
		}

	}

}
