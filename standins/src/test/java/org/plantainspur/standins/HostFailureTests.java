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

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.Timeout;

import org.plantainspur.core.request.KeyHash;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a second run, an untrue {@code not-run} and service that does not go on
 * when entry hosts are killed or paused, and against keys that work after their
 * withdrawal.
 */
@Timeout(120)
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class HostFailureTests {

	private static final ObjectMapper mapper = new ObjectMapper();

	private TestFleet fleet;

	@BeforeAll
	void start() throws Exception {
		this.fleet = new TestFleet();
	}

	@AfterAll
	void stop() {
		this.fleet.close();
	}

	private TestCaller caller() {
		return new TestCaller(this.fleet.callerAddresses(), 4, 10);
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
		void causesNoSecondRunAndTheOthersGoOn() throws Exception {
			TestFleet fleet = HostFailureTests.this.fleet;
			try (TestCaller caller = caller()) {
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
			finally {
				fleet.startHost("entry-4");
				fleet.awaitReady();
			}
		}

	}

	@Nested
	class PausedHost {

		@Test
		void causesNoSecondRun() throws Exception {
			TestFleet fleet = HostFailureTests.this.fleet;
			try (TestCaller caller = caller()) {
				Thread.sleep(1500);
				fleet.signal("entry-2", "STOP");
				Thread.sleep(6000);
				fleet.signal("entry-2", "CONT");
				Thread.sleep(3000);
				caller.close();
				caller.assertRunAtMostOnce(fleet.runs());
			}
			finally {
				fleet.signal("entry-2", "CONT");
				fleet.awaitReady();
			}
		}

		@Test
		void refusesUntilItHasProof() throws Exception {
			TestFleet fleet = HostFailureTests.this.fleet;
			List<String> others = List.of("entry-1", "entry-3", "entry-4");
			try {
				fleet.signal("entry-2", "STOP");
				// Without the platform and the others nothing can prove that it is
				// current.
				fleet.platformFaults("{\"unavailable\": \"closed\"}");
				for (String other : others) {
					fleet.signal(other, "STOP");
				}
				Thread.sleep(6000);
				fleet.signal("entry-2", "CONT");
				HttpResponse<String> refused = get(HttpClient.newHttpClient(), fleet.host("entry-2").caller(),
						TestFleet.KEY);
				assertThat(mapper.readTree(refused.body()).path("code").asText())
					.isEqualTo("configuration-not-current");
				assertThat(mapper.readTree(refused.body()).path("run").asText()).isEqualTo("not-run");
			}
			finally {
				for (String other : others) {
					fleet.signal(other, "CONT");
				}
				fleet.platformFaults("{}");
			}
			TestFleet.await("entry-2 serves again", 10_000, () -> fleet.read("entry-2") == 200);
			fleet.awaitReady();
		}

	}

	@Nested
	class WithdrawnKey {

		@Test
		void stopsOnOpenConnections() throws Exception {
			TestFleet fleet = HostFailureTests.this.fleet;
			String key = mapper.readTree(fleet.operator("key", "issue", "harbor-clinic").output()).path("key").asText();
			Map<String, HttpClient> clients = new HashMap<>();
			for (String address : fleet.callerAddresses()) {
				HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
				clients.put(address, client);
				TestFleet.await("the new key works at " + address, 3000,
						() -> get(client, address, key).statusCode() == 200);
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
