package org.plantainspur.core.fleet;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class BeatScheduleTests {

	private final BeatSchedule schedule = new BeatSchedule();

	@Nested
	class Regular {

		@Test
		void aHostThatReadsNothingBeatsTwiceASecond() {
			int beats = 0;
			for (long now = 0; now < 10_000; now += 100) {
				beats += BeatScheduleTests.this.schedule.due(5, now + 1_000_000, now) ? 1 : 0;
			}
			assertThat(beats).isEqualTo(20);
		}

	}

	@Nested
	class AtOnce {

		@Test
		void newTablesAreToldAtOnce() {
			assertThat(BeatScheduleTests.this.schedule.due(5, 0, 0)).isTrue();
			assertThat(BeatScheduleTests.this.schedule.due(5, 100, 100)).isFalse();
			assertThat(BeatScheduleTests.this.schedule.due(6, 100, 200)).isTrue();
		}

		/**
		 * A standby that took over told nobody for half a second, and in the meantime all
		 * other hosts of its failure domain began to read too.
		 */
		@Test
		void aHostThatHasJustHeardFromTheStoreSaysSo() {
			assertThat(BeatScheduleTests.this.schedule.due(5, 2_000, 0)).isTrue();
			assertThat(BeatScheduleTests.this.schedule.due(5, 2_100, 100)).isFalse();
			assertThat(BeatScheduleTests.this.schedule.due(5, 10, 200)).isTrue();
			assertThat(BeatScheduleTests.this.schedule.due(5, 110, 300)).isFalse();
		}

	}

}
