package org.plantainspur.core.reach;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.target.ConnectFailure;
import org.plantainspur.core.target.ObservedTarget;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against too many connects without a request, and against a host that does not
 * notice the end of a cut.
 */
class ProbeScheduleTests {

	private static final int PROBES_PER_SECOND = 3;

	private final ReachFixture fleet = new ReachFixture(4, "s", "t", "u");

	private final Random random = new Random(1);

	private final ProbeSchedule schedule = new ProbeSchedule(this.fleet.paths, this.fleet.registry,
			this.random::nextDouble);

	private List<ObservedTarget> due(boolean hostCutOff) {
		return this.schedule.due(hostCutOff, this.fleet.clock.millis());
	}

	private void cutOff() {
		for (String id : List.of("s1", "t1", "u1")) {
			this.fleet.fail(id, ConnectFailure.SILENT);
		}
	}

	@Test
	void nothingIsTriedWhileNoPathIsClosed() {
		assertThat(due(false)).isEmpty();
	}

	@Nested
	class ClosedPaths {

		@Test
		void areTriedAFewTimesASecondOnAHostThatIsCutOff() {
			cutOff();
			int probes = 0;
			long longestGapMs = 0;
			long lastMs = ProbeScheduleTests.this.fleet.clock.millis();
			for (int i = 0; i < 100; i++) {
				if (!due(false).isEmpty()) {
					probes++;
					longestGapMs = Math.max(longestGapMs, ProbeScheduleTests.this.fleet.clock.millis() - lastMs);
					lastMs = ProbeScheduleTests.this.fleet.clock.millis();
				}
				ProbeScheduleTests.this.fleet.clock.advance(100);
			}
			assertThat(probes).isBetween(10, 10 * PROBES_PER_SECOND + 1);
			assertThat(longestGapMs).isLessThan(1_000);
		}

		@Test
		void areTriedOneAfterAnother() {
			Set<String> tried = new HashSet<>();
			for (String id : List.of("s1", "s2", "t1")) {
				ProbeScheduleTests.this.fleet.paths.recordAnswered(ProbeScheduleTests.this.fleet.process("u1"));
				ProbeScheduleTests.this.fleet.fail(id, ConnectFailure.REFUSED);
			}
			for (int i = 0; i < 20; i++) {
				ProbeScheduleTests.this.fleet.clock.advance(1);
				ProbeScheduleTests.this.fleet.paths.recordAnswered(ProbeScheduleTests.this.fleet.process("u1"));
				for (ObservedTarget target : due(false)) {
					tried.add(target.listing().id());
					ProbeScheduleTests.this.fleet.fail(target.listing().id(), ConnectFailure.REFUSED);
				}
				ProbeScheduleTests.this.fleet.clock.advance(100);
			}
			assertThat(tried).containsExactlyInAnyOrder("s1", "s2", "t1");
		}

	}

	@Nested
	class AnotherHostThatIsCutOff {

		@Test
		void makesAnIdleHostVerifyThatItReachesTargetsOfDifferentServices() {
			List<ObservedTarget> targets = due(true);
			assertThat(targets.stream().map((target) -> target.listing().service())).containsExactlyInAnyOrder("s", "t",
					"u");
			assertThat(due(true)).isEmpty();
		}

		@Test
		void doesNotConcernAHostThatGetsResponses() {
			ProbeScheduleTests.this.fleet.paths.recordAnswered(ProbeScheduleTests.this.fleet.process("s1"));
			assertThat(due(true)).isEmpty();
		}

	}

}
