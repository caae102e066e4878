package org.plantainspur.standins;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;

import org.plantainspur.core.request.KeyHash;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against hosts that serve keyed routes without proof that their configuration is
 * current, keys that work after their withdrawal, and second runs, while hosts cannot
 * reach the platform or one another.
 */
@Timeout(120)
@ExtendWith(SharedFleet.class)
class CutNetworkTests {

	private static final List<String> PLATFORM_REGION = List.of("entry-1", "entry-3");

	private static final List<String> OTHER_REGION = List.of("entry-2", "entry-4");

	/**
	 * The fencing timeout of 3 s, from the instant of the last question that was answered
	 * before the cut, and one second for the requests of this test.
	 */
	private static final long FENCED_MILLIS = 4000;

	/** The exit code of an operator's command whose result is unknown. */
	private static final int RESULT_UNKNOWN = 4;

	private static List<String> peers(TestFleet fleet, List<String> hosts) {
		return hosts.stream().map((host) -> fleet.host(host).peer()).toList();
	}

	private static void cutRegions(TestFleet fleet) {
		for (String host : PLATFORM_REGION) {
			fleet.links(host).cut(peers(fleet, OTHER_REGION));
		}
		for (String host : OTHER_REGION) {
			fleet.links(host).cut(peers(fleet, PLATFORM_REGION));
			fleet.links(host).cut(List.of(fleet.platform()));
		}
	}

	private static void awaitRefused(TestFleet fleet, List<String> hosts) throws Exception {
		TestFleet.await(hosts + " refuse keyed routes", FENCED_MILLIS, () -> {
			for (String host : hosts) {
				if (!fleet.refusesAsNotCurrent(host)) {
					return false;
				}
			}
			return true;
		});
	}

	// Every host must refuse the key on each of several requests.
	private static void assertRefusedEverywhere(TestFleet fleet, String key) throws Exception {
		for (int i = 0; i < 10; i++) {
			for (String host : fleet.hostIds()) {
				assertThat(fleet.get(host, key).statusCode()).as(host).isIn(401, 503);
			}
		}
	}

	private static void assertSameConfiguration(TestFleet fleet) throws Exception {
		TestFleet.await("all hosts have the same configuration", 5000, () -> {
			Set<Long> sequences = new TreeSet<>();
			for (String host : fleet.hostIds()) {
				sequences.add(fleet.status(host).path("sequence").asLong());
			}
			return sequences.equals(Set.of((long) fleet.changes().size()));
		});
	}

	@Nested
	class CutRegions {

		@Test
		void serveOnlyWithThePlatformAndAgreeAfterwards(TestFleet fleet) throws Exception {
			String key = fleet.issueKey();
			int members = fleet.status("entry-1").path("members").size();
			cutRegions(fleet);
			awaitRefused(fleet, OTHER_REGION);
			for (String host : PLATFORM_REGION) {
				assertThat(fleet.read(host)).as(host).isEqualTo(200);
			}
			// Half of the members is not the majority that acceptance needs, so the
			// operator
			// is told that the change is written and where it is in force.
			TestFleet.OperatorResult withdrawal = fleet.operator("key", "withdraw", KeyHash.of(key), "--wait", "5000");
			assertThat(withdrawal.exitCode()).as(withdrawal.output()).isEqualTo(RESULT_UNKNOWN);
			assertThat(withdrawal.output()).contains("written, not yet accepted",
					"\"inForce\":[\"entry-1\",\"entry-3\"]");
			assertRefusedEverywhere(fleet, key);
			for (String host : OTHER_REGION) {
				assertThat(fleet.refusesAsNotCurrent(host)).as(host).isTrue();
			}
			for (String host : PLATFORM_REGION) {
				assertThat(fleet.read(host)).as(host).isEqualTo(200);
			}
			// Half of the members cannot remove the other half.
			assertThat(fleet.status("entry-1").path("members").size()).isEqualTo(members);
			fleet.healLinks();
			long healed = System.nanoTime();
			while (System.nanoTime() - healed < 2_000_000_000L) {
				assertRefusedEverywhere(fleet, key);
			}
			fleet.awaitReady();
			assertSameConfiguration(fleet);
			for (String host : fleet.hostIds()) {
				assertThat(fleet.get(host, key).statusCode()).as(host).isEqualTo(401);
			}
		}

	}

	@Nested
	class HostWithoutAnswers {

		@Test
		void isFencedAndTheOthersGoOn(TestFleet fleet) throws Exception {
			List<String> others = List.of("entry-1", "entry-2", "entry-3");
			String key = fleet.issueKey();
			fleet.links("entry-4").cutAnswers(peers(fleet, others));
			fleet.links("entry-4").cutAnswers(List.of(fleet.platform()));
			awaitRefused(fleet, List.of("entry-4"));
			TestFleet.OperatorResult withdrawal = fleet.operator("key", "withdraw", KeyHash.of(key));
			assertThat(withdrawal.exitCode()).as(withdrawal.output()).isZero();
			assertRefusedEverywhere(fleet, key);
			for (String host : others) {
				assertThat(fleet.read(host)).as(host).isEqualTo(200);
				// The host answers their questions, so it is not silent.
				assertThat(fleet.status(host).path("members").size()).as(host).isEqualTo(4);
			}
			fleet.healLinks();
			fleet.awaitReady();
			assertSameConfiguration(fleet);
			assertThat(fleet.get("entry-4", key).statusCode()).isEqualTo(401);
		}

		@Test
		void servesWhileItReadsThePlatform(TestFleet fleet) throws Exception {
			String key = fleet.issueKey();
			fleet.links("entry-4").cutAnswers(peers(fleet, List.of("entry-1", "entry-2", "entry-3")));
			long cut = System.nanoTime();
			while (System.nanoTime() - cut < FENCED_MILLIS * 1_000_000) {
				assertThat(fleet.read("entry-4")).isEqualTo(200);
				Thread.sleep(100);
			}
			TestFleet.OperatorResult withdrawal = fleet.operator("key", "withdraw", KeyHash.of(key));
			assertThat(withdrawal.exitCode()).as(withdrawal.output()).isZero();
			assertRefusedEverywhere(fleet, key);
		}

	}

	@Nested
	class HostThatGivesNoAnswers {

		/**
		 * Silence of 3 s, two heartbeats and a membership tick until its report and the
		 * decision, and a poll until the removal is in force.
		 */
		private static final long REMOVED_MILLIS = 3000 + 2 * 500 + 250 + 500 + 1000;

		@Test
		void losesItsSeatAndRunsNothingTwice(TestFleet fleet) throws Exception {
			try (TestCaller caller = new TestCaller(fleet.callerAddresses(), 4, 10)) {
				Thread.sleep(1000);
				for (String host : List.of("entry-1", "entry-2", "entry-3")) {
					fleet.links(host).cut(peers(fleet, List.of("entry-4")));
				}
				TestFleet.await("entry-4 is not a member", REMOVED_MILLIS,
						() -> fleet.status("entry-1").path("members").size() == 3);
				TestFleet.await("entry-4 refuses keyed routes", 1000, () -> fleet.refusesAsNotCurrent("entry-4"));
				fleet.healLinks();
				fleet.awaitReady();
				caller.close();
				caller.assertRunAtMostOnce(fleet.runs());
			}
		}

	}

}
