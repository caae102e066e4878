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
 * Guards against hosts that start at the same time and are admitted to the membership one
 * after another, which would make the start of a large fleet slow. Prints the time until
 * all hosts listen, and from then until every host knows all members.
 */
class FleetStartupTests {

	@ParameterizedTest
	@ValueSource(ints = { 4, 12 })
	void hostsStartedTogetherBecomeMembersWithin20Seconds(int size) throws Exception {
		ExecutorService startExecutor = Executors.newFixedThreadPool(size);
		try (VariableSizeFleet fleet = new VariableSizeFleet()) {
			List<CompletableFuture<Void>> starts = new ArrayList<>();
			long startedNanos = System.nanoTime();
			for (int i = 1; i <= size; i++) {
				String host = "entry-" + i;
				starts.add(CompletableFuture.runAsync(() -> start(fleet, host), startExecutor));
			}
			CompletableFuture.allOf(starts.toArray(CompletableFuture[]::new)).join();
			long listeningNanos = System.nanoTime();
			fleet.awaitMembers(size);
			long membershipMillis = (System.nanoTime() - listeningNanos) / 1_000_000;
			System.out.println(size + " host processes listen after " + (listeningNanos - startedNanos) / 1_000_000
					+ " ms and are members " + membershipMillis + " ms later");
			assertThat(membershipMillis).isLessThan(20_000);
		}
		finally {
			startExecutor.shutdownNow();
		}
	}

	private static void start(VariableSizeFleet fleet, String host) {
		try {
			fleet.startHost(host, "pdx", 500);
		}
		catch (Exception ex) {
			throw new IllegalStateException(host + " did not start", ex);
		}
	}

}
