package org.plantainspur.core.fleet;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ReadDutyTests {

	private final ReadDuty duty = new ReadDuty();

	private static ReadDuty.Reading reading(String host, long version, long ageMs) {
		return new ReadDuty.Reading(new HostBeat(host, 1, "pdx-a", "127.0.0.1:1", "127.0.0.1:2", true, 1, version,
				ageMs, Map.of(), false, List.of(), List.of(), List.of()), version, ageMs);
	}

	private ReadDuty.Decision decide(boolean first, boolean complete, long now, ReadDuty.Reading... others) {
		return this.duty.decide(first, complete, 10, List.of(others), now);
	}

	@Nested
	class Reading {

		@Test
		void theFirstHostReads() {
			assertThat(decide(true, true, 0, reading("b", 10, 100)).readStore()).isTrue();
		}

		@Test
		void anotherHostReliesOnOneThatReads() {
			assertThat(decide(false, true, 0, reading("a", 10, 1_000)).readStore()).isFalse();
		}

		@Test
		void aHostReadsBeforeAChangeCouldBeLate() {
			assertThat(decide(false, true, 0, reading("a", 10, 1_900)).readStore()).isTrue();
			assertThat(decide(false, true, 0).readStore()).as("nobody is heard").isTrue();
		}

		@Test
		void aHostReadsUntilItKnowsAllTables() {
			assertThat(decide(false, false, 0, reading("a", 10, 100)).readStore()).isTrue();
		}

		@Test
		void dutyIsKeptForAWhile() {
			assertThat(decide(false, true, 0).readStore()).isTrue();
			assertThat(decide(false, true, 900, reading("a", 10, 100)).readStore()).isTrue();
			assertThat(decide(false, true, 1_100, reading("a", 10, 100)).readStore()).isFalse();
		}

	}

	@Nested
	class Fetching {

		@Test
		void changesAreTakenFromTheFreshestHostThatKnowsMore() {
			ReadDuty.Reading fresh = reading("a", 12, 50);
			assertThat(decide(false, true, 0, reading("c", 11, 900), fresh).ahead()).isEqualTo(fresh);
		}

		@Test
		void nothingIsTakenFromHostsThatKnowNoMore() {
			assertThat(decide(false, true, 0, reading("a", 10, 50), reading("b", 9, 10)).ahead()).isNull();
		}

	}

}
