package org.plantainspur.core.proxy;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ShutdownScheduleTests {

	private static final int STEP_MS = 10;

	private static long firstRefusalMs(ShutdownSchedule schedule) {
		long elapsedMs = 0;
		while (!schedule.refusesRequests(elapsedMs)) {
			elapsedMs += STEP_MS;
		}
		return elapsedMs;
	}

	private static long endMs(ShutdownSchedule schedule, int openRequests) {
		long elapsedMs = 0;
		while (!schedule.mayEnd(elapsedMs, openRequests)) {
			elapsedMs += STEP_MS;
		}
		return elapsedMs;
	}

	/**
	 * Guards against requests that are accepted so late that they are cut off at the end
	 * of the stop. With a grace period of 10 s they were accepted for 5 s and cut off at
	 * 9.1 s; only those of the first 3 s may still run then. Requests that were sent up
	 * to 3.06 s after the signal were accepted, since the stop begins some milliseconds
	 * after it and checks the time every 50 ms.
	 */
	@Nested
	class LateRequests {

		@ParameterizedTest
		@ValueSource(longs = { 6_000, 10_000, 30_000 })
		void requestsAreRefusedBeforeThreeSecondsHavePassed(long graceMs) {
			assertThat(firstRefusalMs(new ShutdownSchedule(graceMs))).isBetween(2_500L, 3_000L - 150);
		}

		@ParameterizedTest
		@ValueSource(longs = { 2_000, 5_000 })
		void aShortGracePeriodLeavesHalfOfItToOpenRequests(long graceMs) {
			assertThat(firstRefusalMs(new ShutdownSchedule(graceMs))).isEqualTo(graceMs / 2);
		}

	}

	/** Guards against an end before the open requests have their responses. */
	@Nested
	class End {

		/** With a grace period of 4 s, requests were cut off at 3.1 s. */
		@ParameterizedTest
		@ValueSource(longs = { 2_000, 3_000, 4_000, 5_000, 6_000, 10_000 })
		void openRequestsMayRunUntilTheLastSixth(long graceMs) {
			assertThat(endMs(new ShutdownSchedule(graceMs), 1)).isBetween(graceMs * 5 / 6 - STEP_MS, graceMs - 300);
		}

		@ParameterizedTest
		@ValueSource(longs = { 6_000, 10_000 })
		void openRequestsHaveMostOfTheGracePeriod(long graceMs) {
			assertThat(endMs(new ShutdownSchedule(graceMs), 1)).isEqualTo(graceMs - 900);
		}

		@ParameterizedTest
		@ValueSource(longs = { 6_000, 10_000 })
		void theProcessEndsEarlierIfNoRequestIsOpen(long graceMs) {
			assertThat(endMs(new ShutdownSchedule(graceMs), 0)).isBetween(graceMs * 4 / 5, graceMs - 900);
		}

	}

}
