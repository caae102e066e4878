package org.plantainspur.core.configuration;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a fleet that sends more reads to the platform than it handles, and
 * against members that read so rarely that their evidence expires.
 */
class PollScheduleTests {

	private static final double READS_PER_POLL = 2;

	private static final double PLATFORM_READS_PER_SECOND = 2000;

	private final PollSchedule schedule = new PollSchedule(500);

	@Nested
	class Fleet {

		@ParameterizedTest
		@ValueSource(ints = { 1, 36, 44, 250, 500, 950 })
		void readsAtMostHalfOfWhatThePlatformHandles(int members) {
			double seconds = PollScheduleTests.this.schedule.intervalMillis(members) / 1000.0;
			assertThat(members * READS_PER_POLL / seconds).isLessThanOrEqualTo(PLATFORM_READS_PER_SECOND / 2);
		}

		@Test
		void of44MembersReadsAtTheShortestInterval() {
			assertThat(PollScheduleTests.this.schedule.intervalMillis(44)).isEqualTo(500);
		}

	}

	@Nested
	class Member {

		@ParameterizedTest
		@ValueSource(ints = { 950, 2000, 100_000 })
		void readsOftenEnoughNotToBeFenced(int members) {
			assertThat(PollScheduleTests.this.schedule.intervalMillis(members)).isLessThanOrEqualTo(2000);
		}

		@Test
		void keepsAConfiguredIntervalAboveTheLongest() {
			assertThat(new PollSchedule(2500).intervalMillis(950)).isEqualTo(2500);
		}

	}

}
