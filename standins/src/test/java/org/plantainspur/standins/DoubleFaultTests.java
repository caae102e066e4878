package org.plantainspur.standins;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.request.KeyHash;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against second runs, withdrawn keys that work and service that stops when a
 * second fault comes while the first one lasts.
 */
@Timeout(120)
@ExtendWith(SharedFleet.class)
class DoubleFaultTests {

	private static final String UNAVAILABLE = "{\"unavailable\": \"closed\"}";

	@Nested
	class HostKilledWithoutThePlatform {

		private static final List<String> SURVIVORS = List.of("entry-1", "entry-2", "entry-3");

		/**
		 * The survivors are three of four members, so they serve under B. The killed host
		 * cannot be removed before the platform returns, so locate answers go on naming
		 * it; a request sent to it fails to connect.
		 */
		@Test
		void leavesTheOthersServingAndRunsNothingTwice(TestFleet fleet) throws Exception {
			try (TestCaller caller = new TestCaller(fleet.callerAddresses(), 4, 10)) {
				Thread.sleep(1000);
				fleet.platformFaults(UNAVAILABLE);
				Thread.sleep(1000);
				fleet.signal("entry-4", "KILL");
				long killed = System.nanoTime();
				// Relays that wait for the killed host have ended after this.
				Thread.sleep(2000);
				long settled = System.nanoTime();
				// More than twice the fencing timeout.
				while (System.nanoTime() - killed < 7_000_000_000L) {
					for (String host : SURVIVORS) {
						assertThat(fleet.read(host)).as(host).isEqualTo(200);
					}
					Thread.sleep(100);
				}
				assertThat(fleet.status("entry-1").path("members").size()).isEqualTo(4);
				caller.close();
				String dead = fleet.host("entry-4").caller();
				assertThat(caller.since(settled).stream().filter((sent) -> !sent.first().equals(dead))).isNotEmpty();
				assertThat(caller.failures(settled).stream().filter((sent) -> !sent.first().equals(dead))).isEmpty();
				caller.assertRunAtMostOnce(fleet.runs());
			}
			fleet.platformFaults("{}");
			// The silence has lasted already; the rest is a poll, a tick and a write.
			TestFleet.await("the killed host is removed", 3000,
					() -> fleet.status("entry-1").path("members").size() == 3);
		}

	}

	@Nested
	class FrozenHost {

		/**
		 * While frozen for longer than 3 s the host is removed. When it wakes up, it is
		 * fenced; it learns of the withdrawal and of its removal from its peers and
		 * cannot get a seat again before the platform returns.
		 */
		@Test
		void thatWasRemovedRefusesUntilThePlatformReturns(TestFleet fleet) throws Exception {
			String key = fleet.issueKey();
			try (TestCaller caller = new TestCaller(fleet.callerAddresses(), 4, 10)) {
				Thread.sleep(500);
				fleet.signal("entry-2", "STOP");
				TestFleet.OperatorResult withdrawal = fleet.operator("key", "withdraw", KeyHash.of(key));
				assertThat(withdrawal.exitCode()).as(withdrawal.output()).isZero();
				TestFleet.await("the frozen host is removed", 6000,
						() -> fleet.status("entry-1").path("members").size() == 3);
				fleet.platformFaults(UNAVAILABLE);
				List<CompletableFuture<HttpResponse<String>>> early = sendWhileFrozen(fleet, key);
				fleet.signal("entry-2", "CONT");
				long woken = System.nanoTime();
				assertRefused(early);
				while (System.nanoTime() - woken < 4_000_000_000L) {
					assertThat(fleet.get("entry-2", key).statusCode()).isIn(401, 503);
					assertThat(fleet.refusesAsNotCurrent("entry-2")).isTrue();
				}
				for (String host : List.of("entry-1", "entry-3", "entry-4")) {
					assertThat(fleet.read(host)).as(host).isEqualTo(200);
				}
				fleet.platformFaults("{}");
				fleet.awaitReady();
				assertThat(fleet.get("entry-2", key).statusCode()).isEqualTo(401);
				caller.close();
				caller.assertRunAtMostOnce(fleet.runs());
			}
		}

		/**
		 * The platform fails before the host is removed. When the host wakes up, it is
		 * fenced until a majority of its peers, from which it takes the withdrawal, has
		 * nothing newer; then it serves under B.
		 */
		@Test
		void thatKeptItsSeatTakesTheWithdrawalFromItsPeers(TestFleet fleet) throws Exception {
			String key = fleet.issueKey();
			long removals = removals(fleet);
			try (TestCaller caller = new TestCaller(fleet.callerAddresses(), 4, 10)) {
				Thread.sleep(500);
				fleet.signal("entry-2", "STOP");
				fleet.append(new Change.WithdrawKey(KeyHash.of(key)));
				for (String host : List.of("entry-1", "entry-3", "entry-4")) {
					TestFleet.await("the key stops at " + host, 2000, () -> fleet.get(host, key).statusCode() == 401);
				}
				fleet.platformFaults(UNAVAILABLE);
				// Longer than the fencing timeout.
				Thread.sleep(4000);
				List<CompletableFuture<HttpResponse<String>>> early = sendWhileFrozen(fleet, key);
				fleet.signal("entry-2", "CONT");
				long woken = System.nanoTime();
				assertRefused(early);
				while (System.nanoTime() - woken < 1_000_000_000L) {
					assertThat(fleet.get("entry-2", key).statusCode()).isIn(401, 503);
				}
				TestFleet.await("the woken host serves", 5000, () -> fleet.read("entry-2") == 200);
				assertThat(fleet.get("entry-2", key).statusCode()).isEqualTo(401);
				caller.close();
				caller.assertRunAtMostOnce(fleet.runs());
			}
			fleet.platformFaults("{}");
			assertThat(removals(fleet)).as("removals").isEqualTo(removals);
		}

		// Requests that arrive while the host is frozen are the first that it handles
		// when it wakes up, before it can have heard of the withdrawal.
		private static List<CompletableFuture<HttpResponse<String>>> sendWhileFrozen(TestFleet fleet, String key)
				throws Exception {
			HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
			HttpRequest request = HttpRequest
				.newBuilder(URI.create("http://" + fleet.host("entry-2").caller() + "/booking/1"))
				.timeout(Duration.ofSeconds(10))
				.header("X-Api-Key", key)
				.build();
			List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
			for (int i = 0; i < 20; i++) {
				answers.add(client.sendAsync(request, HttpResponse.BodyHandlers.ofString()));
			}
			Thread.sleep(300);
			return answers;
		}

		private static void assertRefused(List<CompletableFuture<HttpResponse<String>>> answers) throws Exception {
			for (CompletableFuture<HttpResponse<String>> answer : answers) {
				assertThat(answer.get().statusCode()).isIn(401, 503);
			}
		}

		private static long removals(TestFleet fleet) throws Exception {
			return fleet.changes().stream().filter((change) -> change instanceof Change.MembersRemoved).count();
		}

	}

}
