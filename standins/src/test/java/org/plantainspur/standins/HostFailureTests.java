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
 * Guards against a second run, an untrue {@code not-run} and service that does not go on
 * when entry hosts are killed or paused, and against keys that work after their
 * withdrawal.
 */
@Timeout(120)
@ExtendWith(SharedFleet.class)
class HostFailureTests {

	private static TestCaller caller(TestFleet fleet) {
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
		void causesNoSecondRunAndTheOthersGoOn(TestFleet fleet) throws Exception {
			try (TestCaller caller = caller(fleet)) {
				Thread.sleep(2000);
				fleet.signal("entry-4", "KILL");
				// 3 s of silence, the locate answers of 3 s and a margin.
				Thread.sleep(10_000);
				long settled = System.nanoTime();
				Thread.sleep(2000);
				assertThat(caller.since(settled)).isNotEmpty();
				assertThat(caller.failures(settled)).isEmpty();
				caller.close();
				caller.assertRunAtMostOnce(fleet.runs());
			}
		}

	}

	@Nested
	class PausedHost {

		@Test
		void causesNoSecondRun(TestFleet fleet) throws Exception {
			try (TestCaller caller = caller(fleet)) {
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
		void refusesUntilItHasProof(TestFleet fleet) throws Exception {
			List<String> others = List.of("entry-1", "entry-3", "entry-4");
			fleet.signal("entry-2", "STOP");
			// Without the platform and the others nothing can prove that it is current.
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
		void stopsOnOpenConnections(TestFleet fleet) throws Exception {
			String key = fleet.issueKey();
			Map<String, HttpClient> clients = new HashMap<>();
			for (String address : fleet.callerAddresses()) {
				HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
				clients.put(address, client);
				assertThat(get(client, address, key).statusCode()).as(address).isEqualTo(200);
			}
			CompletableFuture<TestFleet.OperatorResult> withdrawal = new CompletableFuture<>();
			Thread operator = new Thread(() -> {
				try {
					withdrawal.complete(fleet.operator("key", "withdraw", KeyHash.of(key)));
				}
				catch (Exception ex) {
					withdrawal.completeExceptionally(ex);
				}
			});
			operator.start();
			while (!withdrawal.isDone()) {
				for (Map.Entry<String, HttpClient> entry : clients.entrySet()) {
					get(entry.getValue(), entry.getKey(), key);
				}
				Thread.sleep(50);
			}
			assertThat(withdrawal.get().exitCode()).as(withdrawal.get().output()).isZero();
			Thread.sleep(3000);
			for (Map.Entry<String, HttpClient> entry : clients.entrySet()) {
				assertThat(get(entry.getValue(), entry.getKey(), key).statusCode()).as(entry.getKey()).isEqualTo(401);
			}
		}

	}

}
