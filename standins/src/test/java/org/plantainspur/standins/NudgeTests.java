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
 * Guards against an operator's change that waits for the hosts' polls. Prints how long a
 * change takes until three hosts have it in force, with and without nudges.
 */
class NudgeTests {

	private static final int RUNS = 12;

	private final Random random = new Random(20261204);

	@ParameterizedTest
	@ValueSource(longs = { 500, 2000 })
	void putsAChangeInForceBeforeTheNextPoll(long pollMillis) throws Exception {
		try (OperatedFleet fleet = new OperatedFleet();
				PlatformClient client = new PlatformClient("http://" + fleet.platform, 2000)) {
			for (int i = 1; i <= 3; i++) {
				fleet.startHost("entry-" + i, "pdx", pollMillis);
			}
			fleet.waitForMembers(3);
			// The last change of seats is settled after this, so no host writes
			// meanwhile.
			Thread.sleep(5000);
			TableChangeLog log = new TableChangeLog(client);
			List<Long> without = new ArrayList<>();
			List<Long> with = new ArrayList<>();
			for (int run = 0; run < RUNS; run++) {
				without.add(millisUntilInForce(fleet, log, pollMillis, false));
				with.add(millisUntilInForce(fleet, log, pollMillis, true));
			}
			System.out
				.println("in force at 3 hosts, poll interval " + pollMillis + " ms, " + RUNS + " runs, ms: without "
						+ without.stream().sorted().toList() + ", with nudges " + with.stream().sorted().toList());
			assertThat(with.stream().sorted().toList().get(RUNS / 2)).as("median with nudges")
				.isLessThan(pollMillis / 2);
		}
	}

	private long millisUntilInForce(OperatedFleet fleet, TableChangeLog log, long pollMillis, boolean nudge)
			throws Exception {
		Thread.sleep(this.random.nextLong(pollMillis));
		long sequence = log.head() + 1;
		log.append(sequence - 1, "nudge-" + sequence, new Change.PutAccount(new ClientAccount("a" + sequence, 1, 1)));
		long written = System.nanoTime();
		for (String admin : fleet.admins) {
			if (nudge) {
				assertThat(new Calls(admin).send("POST", "/nudge", "").statusCode()).isEqualTo(204);
			}
		}
		for (String admin : fleet.admins) {
			Calls calls = new Calls(admin);
			while (calls.json("/status").path("sequence").asLong() < sequence) {
				Thread.sleep(2);
			}
		}
		return (System.nanoTime() - written) / 1_000_000;
	}

}
