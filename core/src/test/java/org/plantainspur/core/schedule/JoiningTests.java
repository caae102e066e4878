package org.plantainspur.core.schedule;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a fleet that takes minutes to come up.
 */
class JoiningTests {

	private static final int STEP_MILLIS = 50;

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
