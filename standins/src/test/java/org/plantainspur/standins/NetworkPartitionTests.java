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
 * Guards against hosts that cannot prove that their configuration is current but serve
 * routes that need a key, keys that are accepted after their withdrawal and requests that
 * run twice, while hosts cannot reach the platform or one another.
 */
@Timeout(120)
@ExtendWith(SharedFleetExtension.class)
class NetworkPartitionTests {

	private static final List<String> PLATFORM_REGION_HOSTS = List.of("entry-1", "entry-3");

	private static final List<String> OTHER_REGION_HOSTS = List.of("entry-2", "entry-4");

	/**
	 * Time after the start of a partition within which a host without proof that its
	 * configuration is current refuses routes that need a key: the fencing timeout of 3
	 * s, counted from the last request to a peer or the platform that was answered before
	 * the partition, and 1 s for the requests of this test.
	 */
	private static final long FENCING_DEADLINE_MILLIS = 4000;

	/** Exit code of an operator's command whose result is unknown. */
	private static final int EXIT_RESULT_UNKNOWN = 4;

	private static List<String> peerAddresses(TestFleet fleet, List<String> hosts) {
		return hosts.stream().map((host) -> fleet.host(host).peer()).toList();
	}

	private static void partitionRegions(TestFleet fleet) {
		for (String host : PLATFORM_REGION_HOSTS) {
			fleet.proxy(host).block(peerAddresses(fleet, OTHER_REGION_HOSTS));
		}
		for (String host : OTHER_REGION_HOSTS) {
			fleet.proxy(host).block(peerAddresses(fleet, PLATFORM_REGION_HOSTS));
			fleet.proxy(host).block(List.of(fleet.platformAddress()));
		}
	}

	private static void awaitFenced(TestFleet fleet, List<String> hosts) throws Exception {
		TestFleet.await(hosts + " refuse routes that need a key", FENCING_DEADLINE_MILLIS, () -> {
			for (String host : hosts) {
				if (!fleet.refusesAsNotCurrent(host)) {
					return false;
				}
			}
			return true;
		});
	}

	// Repeats the requests to find a host that accepts the key only intermittently.
	private static void assertKeyRefusedAtEveryHost(TestFleet fleet, String key) throws Exception {
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
	class PartitionedRegions {

		@Test
		void serveOnlyOnThePlatformsSideAndConvergeAfterwards(TestFleet fleet) throws Exception {
			String key = fleet.issueKey();
			int memberCount = fleet.status("entry-1").path("members").size();
			partitionRegions(fleet);
			awaitFenced(fleet, OTHER_REGION_HOSTS);
			for (String host : PLATFORM_REGION_HOSTS) {
				assertThat(fleet.read(host)).as(host).isEqualTo(200);
			}
			// Acceptance needs more than half of the members, so the command only reports
			// that the change is written and where it is in force.
			TestFleet.OperatorResult withdrawal = fleet.operator("key", "withdraw", KeyHash.of(key), "--wait", "5000");
			assertThat(withdrawal.exitCode()).as(withdrawal.output()).isEqualTo(EXIT_RESULT_UNKNOWN);
			assertThat(withdrawal.output()).contains("written, not yet accepted",
					"\"inForce\":[\"entry-1\",\"entry-3\"]");
			assertKeyRefusedAtEveryHost(fleet, key);
			for (String host : OTHER_REGION_HOSTS) {
				assertThat(fleet.refusesAsNotCurrent(host)).as(host).isTrue();
			}
			for (String host : PLATFORM_REGION_HOSTS) {
				assertThat(fleet.read(host)).as(host).isEqualTo(200);
			}
			// Removing members needs more than half of them, so one half of the members
			// cannot remove the other.
			assertThat(fleet.status("entry-1").path("members").size()).isEqualTo(memberCount);
			fleet.unblockLinks();
			long unblockedNanos = System.nanoTime();
			while (System.nanoTime() - unblockedNanos < 2_000_000_000L) {
				assertKeyRefusedAtEveryHost(fleet, key);
			}
			fleet.awaitReady();
			assertSameConfiguration(fleet);
			for (String host : fleet.hostIds()) {
				assertThat(fleet.get(host, key).statusCode()).as(host).isEqualTo(401);
			}
		}

	}

	@Nested
	class HostThatReceivesNoReplies {

		@Test
		void isFencedWhileTheOthersServe(TestFleet fleet) throws Exception {
			List<String> otherHosts = List.of("entry-1", "entry-2", "entry-3");
			String key = fleet.issueKey();
			fleet.proxy("entry-4").blockReplies(peerAddresses(fleet, otherHosts));
			fleet.proxy("entry-4").blockReplies(List.of(fleet.platformAddress()));
			awaitFenced(fleet, List.of("entry-4"));
			TestFleet.OperatorResult withdrawal = fleet.operator("key", "withdraw", KeyHash.of(key));
			assertThat(withdrawal.exitCode()).as(withdrawal.output()).isZero();
			assertKeyRefusedAtEveryHost(fleet, key);
			for (String host : otherHosts) {
				assertThat(fleet.read(host)).as(host).isEqualTo(200);
				// The host answers their heartbeats, so it is not removed.
				assertThat(fleet.status(host).path("members").size()).as(host).isEqualTo(4);
			}
			fleet.unblockLinks();
			fleet.awaitReady();
			assertSameConfiguration(fleet);
			assertThat(fleet.get("entry-4", key).statusCode()).isEqualTo(401);
		}

		@Test
		void servesWhileItReadsThePlatform(TestFleet fleet) throws Exception {
			String key = fleet.issueKey();
			fleet.proxy("entry-4").blockReplies(peerAddresses(fleet, List.of("entry-1", "entry-2", "entry-3")));
			long blockedNanos = System.nanoTime();
			while (System.nanoTime() - blockedNanos < FENCING_DEADLINE_MILLIS * 1_000_000) {
				assertThat(fleet.read("entry-4")).isEqualTo(200);
				Thread.sleep(100);
			}
			TestFleet.OperatorResult withdrawal = fleet.operator("key", "withdraw", KeyHash.of(key));
			assertThat(withdrawal.exitCode()).as(withdrawal.output()).isZero();
			assertKeyRefusedAtEveryHost(fleet, key);
		}

	}

	@Nested
	class HostThatPeersCannotReach {

		/**
		 * Time within which the unreachable host must be removed: 3 s until it counts as
		 * silent, two heartbeats and a membership check until the removal is decided, a
		 * poll until it is in force, and 1 s for the requests of this test.
		 */
		private static final long REMOVAL_DEADLINE_MILLIS = 3000 + 2 * 500 + 250 + 500 + 1000;

		@Test
		void isRemovedFromTheMembershipAndRunsNothingTwice(TestFleet fleet) throws Exception {
			try (TestCaller caller = new TestCaller(fleet.callerAddresses(), 4, 10)) {
				Thread.sleep(1000);
				for (String host : List.of("entry-1", "entry-2", "entry-3")) {
					fleet.proxy(host).block(peerAddresses(fleet, List.of("entry-4")));
				}
				TestFleet.await("entry-4 is not a member", REMOVAL_DEADLINE_MILLIS,
						() -> fleet.status("entry-1").path("members").size() == 3);
				TestFleet.await("entry-4 refuses routes that need a key", 1000,
						() -> fleet.refusesAsNotCurrent("entry-4"));
				fleet.unblockLinks();
				fleet.awaitReady();
				caller.close();
				caller.assertRunAtMostOnce(fleet.runs());
			}
		}

	}

}
