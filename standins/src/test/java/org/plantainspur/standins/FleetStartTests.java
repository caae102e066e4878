package org.plantainspur.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against host processes that start together and wait for seats one after another.
 * Prints the time from the moment that all listen until all know all members.
 */
class FleetStartTests {

	@ParameterizedTest
	@ValueSource(ints = { 4, 12 })
	void hostsThatStartTogetherAreMembersWithinSeconds(int size) throws Exception {
		ExecutorService starters = Executors.newFixedThreadPool(size);
		try (OperatedFleet fleet = new OperatedFleet()) {
			List<CompletableFuture<Void>> starts = new ArrayList<>();
			long began = System.nanoTime();
			for (int i = 1; i <= size; i++) {
				String host = "entry-" + i;
				starts.add(CompletableFuture.runAsync(() -> start(fleet, host), starters));
			}
			CompletableFuture.allOf(starts.toArray(CompletableFuture[]::new)).join();
			long listening = System.nanoTime();
			fleet.waitForMembers(size);
			long millis = (System.nanoTime() - listening) / 1_000_000;
			System.out.println(size + " host processes listen after " + (listening - began) / 1_000_000
					+ " ms and are members " + millis + " ms later");
			assertThat(millis).isLessThan(20_000);
		}
		finally {
			starters.shutdownNow();
		}
	}

	private static void start(OperatedFleet fleet, String host) {
		try {
			fleet.startHost(host, "pdx", 500);
		}
		catch (Exception ex) {
			throw new IllegalStateException(host + " did not start", ex);
		}
	}

}
