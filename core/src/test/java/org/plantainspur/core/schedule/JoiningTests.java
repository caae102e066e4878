package org.plantainspur.core.schedule;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.configuration.Change;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a new fleet that takes minutes until all hosts are members, and against
 * a host that joins and is removed repeatedly.
 */
class JoiningTests {

	private static final int STEP_MILLIS = 50;

	/**
	 * The longest time until a host serves again after its links are restored: the
	 * longest backoff of 60 s, then the admission, which may first have to wait for the
	 * fencing of an earlier change of seats.
	 */
	private static final long MAXIMUM_REJOIN_MILLIS = 75_000;

	private static long millisUntilAllAreMembers(int size, long seed) {
		SimulatedFleet fleet = new SimulatedFleet(size, seed);
		// No message is lost, and each arrives after 2 ms.
		fleet.useReliableLinks();
		while (fleet.now() < 300_000 && !fleet.hosts()
			.stream()
			.allMatch((host) -> host.isCurrent() && host.view().current().membership().size() == size)) {
			fleet.run(STEP_MILLIS);
		}
		return fleet.now();
	}

	@Nested
	class HostUnreachableByPeers {

		@Test
		void rejoinsAtGrowingIntervals() {
			for (long seed = 1; seed <= 5; seed++) {
				SimulatedFleet fleet = new SimulatedFleet(5, seed);
				fleet.run(30_000);
				fleet.isolate(0);
				fleet.run(120_000);
				assertThat(removals(fleet, "h0")).as("removals in 2 minutes, seed %d", seed).isBetween(1L, 6L);
				fleet.heal();
				fleet.run(MAXIMUM_REJOIN_MILLIS);
				assertThat(fleet.host(0).isCurrent()).as("serves after its links are restored, seed %d", seed).isTrue();
			}
		}

		private long removals(SimulatedFleet fleet, String hostId) {
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
		void hasAllHostsAsMembersWithin15Seconds() {
			List<Long> times = new ArrayList<>();
			for (long seed = 1; seed <= 10; seed++) {
				times.add(millisUntilAllAreMembers(40, seed));
			}
			System.out.println("40 new hosts are members after ms: " + times);
			assertThat(times).allSatisfy((millis) -> assertThat(millis).isLessThan(15_000));
		}

	}

}
