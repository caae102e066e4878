package org.plantainspur.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.plantainspur.adapters.platform.PlatformClient;
import org.plantainspur.adapters.platform.TableChangeLog;
import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ClientAccount;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an operator's change that takes effect only with the next poll although
 * the hosts were nudged to read it. Prints how long a change takes until it is in force
 * at three hosts, with and without nudges.
 */
class NudgeTests {

	private static final int CHANGES_PER_CASE = 12;

	private final Random random = new Random(20261204);

	@ParameterizedTest
	@ValueSource(longs = { 500, 2000 })
	void putsAChangeInForceBeforeTheNextPoll(long pollMillis) throws Exception {
		try (VariableSizeFleet fleet = new VariableSizeFleet();
				PlatformClient client = new PlatformClient("http://" + fleet.platformAddress, 2000)) {
			for (int i = 1; i <= 3; i++) {
				fleet.startHost("entry-" + i, "pdx", pollMillis);
			}
			fleet.awaitMembers(3);
			// The last membership change is settled after this time, so no host appends
			// to the log during the measurement.
			Thread.sleep(5000);
			TableChangeLog log = new TableChangeLog(client);
			List<Long> millisWithoutNudge = new ArrayList<>();
			List<Long> millisWithNudge = new ArrayList<>();
			for (int i = 0; i < CHANGES_PER_CASE; i++) {
				millisWithoutNudge.add(millisUntilInForce(fleet, log, pollMillis, false));
				millisWithNudge.add(millisUntilInForce(fleet, log, pollMillis, true));
			}
			System.out.println("in force at 3 hosts, poll interval " + pollMillis + " ms, " + CHANGES_PER_CASE
					+ " runs, ms: without " + millisWithoutNudge.stream().sorted().toList() + ", with nudges "
					+ millisWithNudge.stream().sorted().toList());
			assertThat(millisWithNudge.stream().sorted().toList().get(CHANGES_PER_CASE / 2)).as("median with nudges")
				.isLessThan(pollMillis / 2);
		}
	}

	private long millisUntilInForce(VariableSizeFleet fleet, TableChangeLog log, long pollMillis, boolean nudge)
			throws Exception {
		Thread.sleep(this.random.nextLong(pollMillis));
		long sequence = log.head() + 1;
		log.append(sequence - 1, "nudge-" + sequence, new Change.PutAccount(new ClientAccount("a" + sequence, 1, 1)));
		long appendedNanos = System.nanoTime();
		for (String admin : fleet.adminAddresses) {
			if (nudge) {
				assertThat(new TestHttpClient(admin).send("POST", "/nudge", "").statusCode()).isEqualTo(204);
			}
		}
		for (String admin : fleet.adminAddresses) {
			TestHttpClient http = new TestHttpClient(admin);
			while (http.getJson("/status").path("sequence").asLong() < sequence) {
				Thread.sleep(2);
			}
		}
		return (System.nanoTime() - appendedNanos) / 1_000_000;
	}

}
