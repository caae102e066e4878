package org.plantainspur.standins;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;

import org.plantainspur.core.request.KeyHash;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that run twice or are wrongly reported as {@code not-run}, and
 * hosts that stop serving, when other entry hosts are killed or paused; and against keys
 * that are accepted after their withdrawal.
 */
@Timeout(120)
@ExtendWith(SharedFleetExtension.class)
class HostFailureTests {

	private static TestCaller startCaller(TestFleet fleet) {
		return new TestCaller(fleet.callerAddresses(), 4, 10);
	}

	private static HttpResponse<String> get(HttpClient client, String address, String key) throws Exception {
		return client.send(HttpRequest.newBuilder(URI.create("http://" + address + "/booking/1"))
			.timeout(Duration.ofSeconds(5))
			.header("X-Api-Key", key)
			.build(), HttpResponse.BodyHandlers.ofString());
	}

	@Nested
	class KilledHost {

		@Test
		void causesNoSecondRunWhileTheOthersServe(TestFleet fleet) throws Exception {
			try (TestCaller caller = startCaller(fleet)) {
				Thread.sleep(2000);
				fleet.signal("entry-4", "KILL");
				// The 3 s after which the killed host counts as silent, the 3 s for which
				// the caller uses a locate response, and a margin.
				Thread.sleep(10_000);
				long settledNanos = System.nanoTime();
				Thread.sleep(2000);
				assertThat(caller.endedSince(settledNanos)).isNotEmpty();
				assertThat(caller.failedSince(settledNanos)).isEmpty();
				caller.close();
				caller.assertRunAtMostOnce(fleet.runs());
			}
		}

	}

	@Nested
	class PausedHost {

		@Test
		void causesNoSecondRun(TestFleet fleet) throws Exception {
			try (TestCaller caller = startCaller(fleet)) {
				Thread.sleep(1500);
				fleet.signal("entry-2", "STOP");
				Thread.sleep(6000);
				fleet.signal("entry-2", "CONT");
				Thread.sleep(3000);
				caller.close();
				caller.assertRunAtMostOnce(fleet.runs());
			}
		}

		@Test
		void refusesUntilItsConfigurationIsProvenCurrent(TestFleet fleet) throws Exception {
			List<String> others = List.of("entry-1", "entry-3", "entry-4");
			fleet.signal("entry-2", "STOP");
			// Without the platform and its peers the host cannot prove that its
			// configuration is current.
			fleet.platformFaults("{\"unavailable\": \"closed\"}");
			for (String other : others) {
				fleet.signal(other, "STOP");
			}
			Thread.sleep(6000);
			fleet.signal("entry-2", "CONT");
			assertThat(fleet.refusesAsNotCurrent("entry-2")).isTrue();
			for (String other : others) {
				fleet.signal(other, "CONT");
			}
			fleet.platformFaults("{}");
			TestFleet.await("entry-2 serves again", 10_000, () -> fleet.read("entry-2") == 200);
		}

	}

	@Nested
	class WithdrawnKey {

		@Test
		void isRefusedOnOpenConnections(TestFleet fleet) throws Exception {
			String key = fleet.issueKey();
			Map<String, HttpClient> clientsByAddress = new HashMap<>();
			for (String address : fleet.callerAddresses()) {
				HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
				clientsByAddress.put(address, client);
				assertThat(get(client, address, key).statusCode()).as(address).isEqualTo(200);
			}
			CompletableFuture<TestFleet.OperatorResult> withdrawal = new CompletableFuture<>();
			Thread operatorThread = new Thread(() -> {
				try {
					withdrawal.complete(fleet.operator("key", "withdraw", KeyHash.of(key)));
				}
				catch (Exception ex) {
					withdrawal.completeExceptionally(ex);
				}
			});
			operatorThread.start();
			while (!withdrawal.isDone()) {
				for (Map.Entry<String, HttpClient> entry : clientsByAddress.entrySet()) {
					get(entry.getValue(), entry.getKey(), key);
				}
				Thread.sleep(50);
			}
			assertThat(withdrawal.get().exitCode()).as(withdrawal.get().output()).isZero();
			Thread.sleep(3000);
			for (Map.Entry<String, HttpClient> entry : clientsByAddress.entrySet()) {
				assertThat(get(entry.getValue(), entry.getKey(), key).statusCode()).as(entry.getKey()).isEqualTo(401);
			}
		}

	}

}
