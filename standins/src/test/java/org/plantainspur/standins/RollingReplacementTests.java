package org.plantainspur.standins;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that a planned stop of an entry host fails or cuts.
 */
@Timeout(180)
@ExtendWith(SharedFleet.class)
class RollingReplacementTests {

	@Nested
	class EveryHostInTurn {

		@Test
		void failsNoRequestOfACallerThatFollowsLocateAnswers(TestFleet fleet) throws Exception {
			try (TestCaller caller = new TestCaller(fleet.callerAddresses(), 4, 10)) {
				long began = System.nanoTime();
				for (String host : fleet.hostIds()) {
					fleet.signal(host, "TERM");
					assertThat(fleet.awaitExit(host, 40)).as("exit code of %s", host).isZero();
					fleet.startHost(host);
					fleet.awaitReady();
				}
				caller.close();
				assertThat(caller.since(began)).isNotEmpty();
				assertThat(caller.failures(began)).isEmpty();
				caller.assertRunAtMostOnce(fleet.runs());
			}
		}

	}

}
