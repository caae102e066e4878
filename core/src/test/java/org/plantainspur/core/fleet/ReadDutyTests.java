package org.plantainspur.core.fleet;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReadDutyTests {

	private static final long APPLY_MS = 2_500;

	private final ReadDuty duty = new ReadDuty(APPLY_MS);

	private static ReadDuty.Reading reading(String host, long version, long ageMs) {
		return new ReadDuty.Reading(new HostBeat(host, 1, "pdx-a", "127.0.0.1:1", "127.0.0.1:2", 1, true, 1, version,
				ageMs, Map.of(), List.of(), List.of(), List.of(), List.of()), version, ageMs);
	}

	private ReadDuty.Decision decide(int rank, boolean complete, long now, ReadDuty.Reading... others) {
		return this.duty.decide(rank, complete, complete ? 10 : 0, List.of(others), now);
	}

	@Nested
	class Reading {

		@Test
		void theFirstHostReads() {
			assertThat(decide(0, true, 0, reading("b", 10, 100)).readStore()).isTrue();
		}

		@Test
		void anotherHostReliesOnOneThatReads() {
			assertThat(decide(1, true, 0, reading("a", 10, 1_000)).readStore()).isFalse();
		}

		@Test
		void aHostReadsBeforeAChangeCouldBeLate() {
			assertThat(decide(1, true, 0, reading("a", 10, 1_950)).readStore()).isTrue();
			assertThat(decide(0, true, 0).readStore()).as("nobody is heard").isTrue();
		}

		/**
		 * All hosts of a failure domain began to read at once when the first one was
		 * late, and each call is billed.
		 */
		@Test
		void whenTheReaderIsLateTheOthersBeginOneAfterAnother() {
			ReadDuty.Reading late = reading("a", 10, 1_950);
			for (int rank = 2; rank < 16; rank++) {
				assertThat(decide(rank, true, 0, late).readStore()).as("rank %d", rank).isFalse();
			}
		}

		@Test
		void theLastOfAHundredHostsStillReadsInTime() {
			assertThat(decide(99, true, 0, reading("a", 10, APPLY_MS + 50)).readStore()).isTrue();
			assertThat(new ReadDuty(APPLY_MS).decide(15, true, 10, List.of(reading("a", 10, 2_250)), 0).readStore())
				.isTrue();
		}

		@Test
		void dutyIsKeptForAWhile() {
			assertThat(decide(0, true, 0).readStore()).isTrue();
			assertThat(decide(1, true, 900, reading("a", 10, 100)).readStore()).isTrue();
			assertThat(decide(1, true, 1_100, reading("a", 10, 100)).readStore()).isFalse();
		}

	}

	/**
	 * All hosts start together, or one starts among others; each whole read goes to
	 * another region for half of them.
	 */
	@Nested
	class Starting {

		@Test
		void theFirstHostReadsAtOnceAndTheOthersWait() {
			assertThat(decide(0, false, 0, reading("b", 0, 1_000_000)).readStore()).isTrue();
			assertThat(new ReadDuty(APPLY_MS).decide(1, false, 0, List.of(reading("a", 0, 1_000_000)), 0).readStore())
				.isFalse();
		}

		@Test
		void aHostTakesTheTablesFromOneThatHasReadThem() {
			ReadDuty.Decision decision = decide(0, false, 0, reading("b", 10, 100));
			assertThat(decision.readStore()).isFalse();
			assertThat(decision.ahead()).isNotNull();
		}

		@Test
		void aHostThatWaitsInVainReads() {
			ReadDuty.Reading empty = reading("a", 0, 1_000_000);
			assertThat(decide(3, false, 0, empty).readStore()).isFalse();
			assertThat(decide(3, false, 400, empty).readStore()).isFalse();
			assertThat(decide(3, false, 500, empty).readStore()).isTrue();
		}

	}

	@Nested
	class Fetching {

		@Test
		void changesAreTakenFromTheFreshestHostThatKnowsMore() {
			ReadDuty.Reading fresh = reading("a", 12, 50);
			assertThat(decide(1, true, 0, reading("c", 11, 900), fresh).ahead()).isEqualTo(fresh);
		}

		@Test
		void nothingIsTakenFromHostsThatKnowNoMore() {
			assertThat(decide(1, true, 0, reading("a", 10, 50), reading("b", 9, 10)).ahead()).isNull();
		}

	}

}
