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
 * Guards against requests that run twice, withdrawn keys that are accepted and hosts that
 * stop serving when a second fault begins during the first one.
 */
@Timeout(120)
@ExtendWith(SharedFleetExtension.class)
class DoubleFaultTests {

	private static final String PLATFORM_UNAVAILABLE = "{\"unavailable\": \"closed\"}";

	@Nested
	class HostKilledDuringPlatformOutage {

		private static final List<String> SURVIVORS = List.of("entry-1", "entry-2", "entry-3");

		/**
		 * Three of the four members survive and are a majority, so they serve without the
		 * platform. The killed host cannot be removed before the platform returns, so
		 * locate responses still name it and a request sent to it fails to connect.
		 */
		@Test
		void leavesTheOthersServingAndRunsNothingTwice(TestFleet fleet) throws Exception {
			try (TestCaller caller = new TestCaller(fleet.callerAddresses(), 4, 10)) {
				Thread.sleep(1000);
				fleet.platformFaults(PLATFORM_UNAVAILABLE);
				Thread.sleep(1000);
				fleet.signal("entry-4", "KILL");
				long killedNanos = System.nanoTime();
				// By then, requests that were relayed to the killed host have ended.
				Thread.sleep(2000);
				long settledNanos = System.nanoTime();
				// More than twice the fencing timeout of 3 s.
				while (System.nanoTime() - killedNanos < 7_000_000_000L) {
					for (String host : SURVIVORS) {
						assertThat(fleet.read(host)).as(host).isEqualTo(200);
					}
					Thread.sleep(100);
				}
				assertThat(fleet.status("entry-1").path("members").size()).isEqualTo(4);
				caller.close();
				String killedHostAddress = fleet.host("entry-4").caller();
				assertThat(caller.endedSince(settledNanos)
					.stream()
					.filter((sent) -> !sent.firstAddress().equals(killedHostAddress))).isNotEmpty();
				assertThat(caller.failedSince(settledNanos)
					.stream()
					.filter((sent) -> !sent.firstAddress().equals(killedHostAddress))).isEmpty();
				caller.assertRunAtMostOnce(fleet.runs());
			}
			fleet.platformFaults("{}");
			// The killed host already counts as silent, so its removal takes only a poll,
			// a membership check and a write.
			TestFleet.await("the killed host is removed", 3000,
					() -> fleet.status("entry-1").path("members").size() == 3);
		}

	}

	@Nested
	class PausedHost {

		/**
		 * A host that is paused (SIGSTOP) for longer than 3 s is removed. When it
		 * resumes, it is fenced. It learns from its peers that the key was withdrawn and
		 * that it was removed, and cannot become a member again before the platform
		 * returns.
		 */
		@Test
		void thatWasRemovedRefusesUntilThePlatformReturns(TestFleet fleet) throws Exception {
			String key = fleet.issueKey();
			try (TestCaller caller = new TestCaller(fleet.callerAddresses(), 4, 10)) {
				Thread.sleep(500);
				fleet.signal("entry-2", "STOP");
				TestFleet.OperatorResult withdrawal = fleet.operator("key", "withdraw", KeyHash.of(key));
				assertThat(withdrawal.exitCode()).as(withdrawal.output()).isZero();
				TestFleet.await("the paused host is removed", 6000,
						() -> fleet.status("entry-1").path("members").size() == 3);
				fleet.platformFaults(PLATFORM_UNAVAILABLE);
				List<CompletableFuture<HttpResponse<String>>> responsesToQueuedRequests = sendWhilePaused(fleet, key);
				fleet.signal("entry-2", "CONT");
				long resumedNanos = System.nanoTime();
				assertRefused(responsesToQueuedRequests);
				while (System.nanoTime() - resumedNanos < 4_000_000_000L) {
					assertRefused(fleet.get("entry-2", key));
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
		 * The platform fails before the host is removed. When the host resumes, it is
		 * fenced until it has read the withdrawal of the key from its peers and a
		 * majority of them has no newer configuration; then it serves without the
		 * platform.
		 */
		@Test
		void thatIsStillAMemberReadsTheWithdrawalFromItsPeers(TestFleet fleet) throws Exception {
			String key = fleet.issueKey();
			long removalsBefore = countRemovals(fleet);
			try (TestCaller caller = new TestCaller(fleet.callerAddresses(), 4, 10)) {
				Thread.sleep(500);
				fleet.signal("entry-2", "STOP");
				fleet.append(new Change.WithdrawKey(KeyHash.of(key)));
				for (String host : List.of("entry-1", "entry-3", "entry-4")) {
					TestFleet.await(host + " refuses the withdrawn key", 2000,
							() -> fleet.get(host, key).statusCode() == 401);
				}
				fleet.platformFaults(PLATFORM_UNAVAILABLE);
				// Longer than the fencing timeout of 3 s.
				Thread.sleep(4000);
				List<CompletableFuture<HttpResponse<String>>> responsesToQueuedRequests = sendWhilePaused(fleet, key);
				fleet.signal("entry-2", "CONT");
				long resumedNanos = System.nanoTime();
				assertRefused(responsesToQueuedRequests);
				while (System.nanoTime() - resumedNanos < 1_000_000_000L) {
					assertRefused(fleet.get("entry-2", key));
				}
				TestFleet.await("the resumed host serves", 5000, () -> fleet.read("entry-2") == 200);
				assertThat(fleet.get("entry-2", key).statusCode()).isEqualTo(401);
				caller.close();
				caller.assertRunAtMostOnce(fleet.runs());
			}
			fleet.platformFaults("{}");
			assertThat(countRemovals(fleet)).as("removals").isEqualTo(removalsBefore);
		}

		// When the host resumes, the first requests that it handles are those that
		// arrived while it was paused. Its peers cannot have told it of the withdrawal
		// by then.
		private static List<CompletableFuture<HttpResponse<String>>> sendWhilePaused(TestFleet fleet, String key)
				throws Exception {
			HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
			HttpRequest request = HttpRequest
				.newBuilder(URI.create("http://" + fleet.host("entry-2").caller() + "/booking/1"))
				.timeout(Duration.ofSeconds(10))
				.header("X-Api-Key", key)
				.build();
			List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
			for (int i = 0; i < 20; i++) {
				responses.add(client.sendAsync(request, HttpResponse.BodyHandlers.ofString()));
			}
			Thread.sleep(300);
			return responses;
		}

		private static void assertRefused(List<CompletableFuture<HttpResponse<String>>> responses) throws Exception {
			for (CompletableFuture<HttpResponse<String>> response : responses) {
				assertRefused(response.get());
			}
		}

		private static void assertRefused(HttpResponse<String> response) {
			assertThat(response.statusCode()).as(response.body()).isIn(401, 503);
		}

		private static long countRemovals(TestFleet fleet) throws Exception {
			return fleet.changes().stream().filter((change) -> change instanceof Change.MembersRemoved).count();
		}

	}

}
