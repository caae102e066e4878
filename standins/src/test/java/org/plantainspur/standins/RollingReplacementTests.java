package org.plantainspur.standins;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that fail or lose their response while entry hosts are stopped
 * gracefully and started again.
 */
@Timeout(180)
@ExtendWith(SharedFleetExtension.class)
class RollingReplacementTests {

	@Nested
	class EveryHostInTurn {

		@Test
		void failsNoRequestOfACallerThatFollowsLocateResponses(TestFleet fleet) throws Exception {
			try (TestCaller caller = new TestCaller(fleet.callerAddresses(), 4, 10)) {
				long startNanos = System.nanoTime();
				for (String host : fleet.hostIds()) {
					fleet.signal(host, "TERM");
					assertThat(fleet.awaitExit(host, 40)).as("exit code of %s", host).isZero();
					fleet.startHost(host);
					fleet.awaitReady();
				}
				caller.close();
				assertThat(caller.endedSince(startNanos)).isNotEmpty();
				assertThat(caller.failedSince(startNanos)).isEmpty();
				caller.assertRunAtMostOnce(fleet.runs());
			}
		}

	}

}
