package org.plantainspur.core.schedule;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.configuration.Change;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a fleet that takes minutes to come up, and against seats that change
 * again and again.
 */
class JoiningTests {

	private static final int STEP_MILLIS = 50;

	/** The longest wait, the admission and the fencing wait of the others. */
	private static final long SEAT_WITHIN_MILLIS = 75_000;

	private static long millisUntilAllAreMembers(int size, long seed) {
		Fleet fleet = new Fleet(size, seed);
		// Each message arrives after 2 ms.
		fleet.steadyLinks();
		while (fleet.now() < 300_000 && !fleet.hosts()
			.stream()
			.allMatch((host) -> host.current() && host.view().current().membership().size() == size)) {
			fleet.run(STEP_MILLIS);
		}
		return fleet.now();
	}

	@Nested
	class HostThatPeersCannotReach {

		@Test
		void takesItsSeatAgainLessAndLessOften() {
			for (long seed = 1; seed <= 5; seed++) {
				Fleet fleet = new Fleet(5, seed);
				fleet.run(30_000);
				fleet.isolate(0);
				fleet.run(120_000);
				assertThat(removals(fleet, "h0")).as("removals in 2 minutes, seed %d", seed).isBetween(1L, 6L);
				fleet.heal();
				fleet.run(SEAT_WITHIN_MILLIS);
				assertThat(fleet.host(0).current()).as("serves after the cut, seed %d", seed).isTrue();
			}
		}

		private long removals(Fleet fleet, String hostId) {
			return fleet.table()
				.entries()
				.stream()
				.filter((entry) -> entry.change() instanceof Change.MembersRemoved removed
						&& removed.members().stream().anyMatch((member) -> member.hostId().equals(hostId)))
				.count();
		}

	}

	@Nested
	class NewFleet {

		@Test
		void comesUpWithinSeconds() {
			List<Long> times = new ArrayList<>();
			for (long seed = 1; seed <= 10; seed++) {
				times.add(millisUntilAllAreMembers(40, seed));
			}
			System.out.println("40 new hosts are members after ms: " + times);
			assertThat(times).allSatisfy((millis) -> assertThat(millis).isLessThan(15_000));
		}

	}

}
