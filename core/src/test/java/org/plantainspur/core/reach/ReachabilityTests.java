package org.plantainspur.core.reach;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.target.ConnectFailure;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests that wait for dead paths, and against traffic that is sent
 * around although a target is down.
 */
class ReachabilityTests {

	private final ReachFixture fleet = new ReachFixture(4, "s", "t", "u");

	private final RelayHost near = ReachFixture.host("a2", "a");

	private final RelayHost secondNear = ReachFixture.host("a3", "a");

	private final RelayHost inRegion = ReachFixture.host("b1", "b");

	private final RelayHost far = ReachFixture.host("c1", "c");

	private void addHosts(RelayHost... hosts) {
		this.fleet.hosts.replace(List.of(hosts));
	}

	private void cutOff() {
		for (String id : List.of("s1", "t1", "u1")) {
			this.fleet.fail(id, ConnectFailure.SILENT);
		}
	}

	@Nested
	class OpenPaths {

		@Test
		void areUsedDirectly() {
			addHosts(ReachabilityTests.this.near);
			assertThat(ReachabilityTests.this.fleet.isDirect("s1")).isTrue();
		}

		@Test
		void includeOpenConnectionsOfAClosedPath() {
			addHosts(ReachabilityTests.this.near);
			ReachabilityTests.this.fleet.fail("s1", ConnectFailure.REFUSED);
			PathChooser.Choice choice = ReachabilityTests.this.fleet.reachability
				.choose(ReachabilityTests.this.fleet.target("s1"), (target, provenSinceMs) -> true);
			assertThat(choice).isEqualTo(PathChooser.Choice.DIRECT);
		}

	}

	@Nested
	class HostThatIsCutOff {

		@Test
		void reachesAlsoTargetsThatItHasNotTried() {
			addHosts(ReachabilityTests.this.near, ReachabilityTests.this.far);
			cutOff();
			assertThat(ReachabilityTests.this.fleet.relayOf("s3")).isEqualTo("a2");
		}

		@Test
		void doesNotAskAHostThatIsCutOffToo() {
			addHosts(ReachabilityTests.this.near, ReachabilityTests.this.inRegion, ReachabilityTests.this.far);
			cutOff();
			ReachabilityTests.this.fleet.hosts.receive("a2", new HostReach(HostReach.State.CUT_OFF, List.of()));
			assertThat(ReachabilityTests.this.fleet.relayOf("s3")).isEqualTo("b1");
		}

		@Test
		void prefersAHostThatReachesTargetsToANearerOneThatIsUnknown() {
			addHosts(ReachabilityTests.this.near, ReachabilityTests.this.inRegion);
			cutOff();
			ReachabilityTests.this.fleet.hosts.receive("b1", new HostReach(HostReach.State.CONNECTED, List.of()));
			assertThat(ReachabilityTests.this.fleet.relayOf("s3")).isEqualTo("b1");
		}

		@Test
		void hasNoPathWhenAllOthersAreCutOff() {
			addHosts(ReachabilityTests.this.near, ReachabilityTests.this.far);
			cutOff();
			for (String host : List.of("a2", "c1")) {
				ReachabilityTests.this.fleet.hosts.receive(host, new HostReach(HostReach.State.CUT_OFF, List.of()));
			}
			assertThat(ReachabilityTests.this.fleet.choose("s3")).isNull();
		}

		@Test
		void isServedByOneHostWhileMostAreCutOff() {
			List<RelayHost> hosts = new ArrayList<>(List.of(ReachabilityTests.this.far));
			for (int i = 0; i < 30; i++) {
				hosts.add(ReachFixture.host("b" + i, "b"));
				ReachabilityTests.this.fleet.hosts.receive("b" + i, new HostReach(HostReach.State.CUT_OFF, List.of()));
			}
			ReachabilityTests.this.fleet.hosts.replace(hosts);
			cutOff();
			assertThat(ReachabilityTests.this.fleet.relayOf("s3")).isEqualTo("c1");
		}

		@Test
		void tellsItsCallersWhenAHostHasRoomAgain() {
			addHosts(ReachabilityTests.this.near);
			cutOff();
			ReachabilityTests.this.fleet.hosts.recordBusy(ReachabilityTests.this.near, 250);
			assertThat(ReachabilityTests.this.fleet.choose("s3")).isNull();
			assertThat(ReachabilityTests.this.fleet.hosts.retryAfterMs()).isEqualTo(250);
			ReachabilityTests.this.fleet.clock.advance(250);
			assertThat(ReachabilityTests.this.fleet.relayOf("s3")).isEqualTo("a2");
		}

		@Test
		void keepsConnectionsToFewOfManyHosts() {
			List<RelayHost> hosts = new ArrayList<>();
			for (int i = 0; i < 136; i++) {
				hosts.add(ReachFixture.host("a" + i, "a"));
			}
			ReachabilityTests.this.fleet.hosts.replace(hosts);
			cutOff();
			Set<String> used = new HashSet<>();
			for (String service : List.of("s", "t", "u")) {
				for (int i = 1; i <= 4; i++) {
					used.add(ReachabilityTests.this.fleet.relayOf(service + i));
				}
			}
			assertThat(used).hasSizeBetween(2, RelayHosts.HOSTS_IN_USE);
		}

	}

	@Nested
	class TargetThatIsDown {

		@Test
		void hasNoPathOnceHostsThatReachOthersDoNotReachIt() {
			addHosts(ReachabilityTests.this.near, ReachabilityTests.this.secondNear, ReachabilityTests.this.inRegion,
					ReachabilityTests.this.far);
			ReachabilityTests.this.fleet.fail("s1", ConnectFailure.REFUSED);
			int relayed = 0;
			PathChooser.Choice choice = ReachabilityTests.this.fleet.choose("s1");
			while (choice != null && choice.path() instanceof TargetPath.Relayed path) {
				assertThat(choice.doubtful()).isTrue();
				ReachabilityTests.this.fleet.hosts.recordUnreached(path.host(), "s1", true);
				relayed++;
				choice = ReachabilityTests.this.fleet.choose("s1");
			}
			assertThat(choice).isNull();
			assertThat(relayed).isEqualTo(Reachability.MAX_UNREACHED);
		}

		/**
		 * Guards against refusals while one host reaches the target, but three others
		 * that were cut off named it before.
		 */
		@Test
		void isNotJudgedByHostsThatReachNoTargets() {
			addHosts(ReachabilityTests.this.near, ReachabilityTests.this.secondNear, ReachabilityTests.this.inRegion,
					ReachFixture.host("a4", "a"));
			ReachabilityTests.this.fleet.fail("s1", ConnectFailure.REFUSED);
			HostReach someClosed = new HostReach(HostReach.State.CONNECTED, List.of("s1"));
			HostReach cutOff = new HostReach(HostReach.State.CUT_OFF, List.of());
			HostReach allClosed = new HostReach(HostReach.State.UNKNOWN, List.of("s1", "t1", "u1"));
			List.of("a2", "a3", "b1").forEach((host) -> ReachabilityTests.this.fleet.hosts.receive(host, someClosed));
			assertThat(ReachabilityTests.this.fleet.choose("s1")).isNull();
			ReachabilityTests.this.fleet.hosts.receive("a2", cutOff);
			ReachabilityTests.this.fleet.hosts.receive("a3", allClosed);
			assertThat(ReachabilityTests.this.fleet.relayOf("s1")).isEqualTo("a4");
		}

		/** Guards against refusals while hosts of another failure domain reach it. */
		@Test
		void isNotJudgedByTheHostsOfOneDomain() {
			List<RelayHost> hosts = new ArrayList<>(List.of(ReachabilityTests.this.inRegion));
			for (int i = 2; i < 9; i++) {
				RelayHost host = ReachFixture.host("a" + i, "a");
				hosts.add(host);
				ReachabilityTests.this.fleet.hosts.recordUnreached(host, "s1", true);
			}
			ReachabilityTests.this.fleet.hosts.replace(hosts);
			ReachabilityTests.this.fleet.fail("s1", ConnectFailure.REFUSED);
			assertThat(ReachabilityTests.this.fleet.relayOf("s1")).isEqualTo("b1");
			ReachabilityTests.this.fleet.hosts.recordUnreached(ReachabilityTests.this.inRegion, "s1", true);
			assertThat(ReachabilityTests.this.fleet.choose("s1")).isNull();
		}

		/** Guards against refusals while one host of many says that it is served. */
		@Test
		void isNotDownWhileAHostIsServedByIt() {
			List<RelayHost> hosts = new ArrayList<>();
			for (int i = 2; i < 9; i++) {
				RelayHost host = ReachFixture.host("a" + i, "a");
				hosts.add(host);
				List<String> closed = (i == 5) ? List.of() : List.of("s1");
				List<String> reached = (i == 5) ? List.of("s1") : List.of();
				ReachabilityTests.this.fleet.hosts.receive("a" + i,
						new HostReach(HostReach.State.CONNECTED, closed, reached));
			}
			ReachabilityTests.this.fleet.hosts.replace(hosts);
			ReachabilityTests.this.fleet.fail("s1", ConnectFailure.SILENT);
			assertThat(ReachabilityTests.this.fleet.hosts.unreachedTargets()).containsExactly("s1");
			assertThat(ReachabilityTests.this.fleet.relayOf("s1")).isEqualTo("a5");
			PathChooser.Choice choice = ReachabilityTests.this.fleet.choose("s1");
			assertThat(choice).isNotNull();
			assertThat(choice.doubtful()).isFalse();
			ReachabilityTests.this.fleet.hosts.receive("a5",
					new HostReach(HostReach.State.CONNECTED, List.of("s1"), List.of()));
			assertThat(ReachabilityTests.this.fleet.choose("s1")).isNull();
		}

		@Test
		void isTriedOverOneHostOfEachDomainFirst() {
			addHosts(ReachabilityTests.this.near, ReachabilityTests.this.secondNear, ReachabilityTests.this.inRegion,
					ReachabilityTests.this.far);
			ReachabilityTests.this.fleet.fail("s1", ConnectFailure.SILENT);
			List<String> failureDomains = new ArrayList<>();
			PathChooser.Choice choice = ReachabilityTests.this.fleet.choose("s1");
			while (choice != null && choice.path() instanceof TargetPath.Relayed path) {
				failureDomains.add(path.host().failureDomain());
				ReachabilityTests.this.fleet.hosts.recordUnreached(path.host(), "s1", true);
				choice = ReachabilityTests.this.fleet.choose("s1");
			}
			assertThat(failureDomains).containsExactly("a", "b", "c");
		}

		@Test
		void staysInUseOverAHostThatReachesIt() {
			addHosts(ReachabilityTests.this.near, ReachabilityTests.this.secondNear, ReachabilityTests.this.inRegion);
			ReachabilityTests.this.fleet.fail("s1", ConnectFailure.REFUSED);
			for (RelayHost host : List.of(ReachabilityTests.this.near, ReachabilityTests.this.secondNear)) {
				ReachabilityTests.this.fleet.hosts.recordUnreached(host, "s1", true);
			}
			ReachabilityTests.this.fleet.hosts.recordReached(ReachabilityTests.this.inRegion, "s1");
			PathChooser.Choice choice = ReachabilityTests.this.fleet.choose("s1");
			assertThat(choice).isNotNull();
			assertThat(choice.doubtful()).isFalse();
			assertThat(ReachabilityTests.this.fleet.relayOf("s1")).isEqualTo("b1");
		}

	}

	/**
	 * Plays random cuts of a fleet: a request that a host in touch can serve finds a path
	 * after a bounded number of attempts, and never the same dead path twice in a row.
	 */
	@Nested
	class RandomCuts {

		private static final int FLEETS = 300;

		private static final int MAX_ATTEMPTS = 5;

		@Test
		void findAPathWhileAnyHostReachesTheTarget() {
			int afterTheFirstRequests = 0;
			for (int seed = 0; seed < FLEETS; seed++) {
				Random random = new Random(seed);
				ReachFixture cutFleet = new ReachFixture(4, "s", "t", "u");
				List<RelayHost> hosts = new ArrayList<>();
				Set<String> reaching = new HashSet<>();
				double cutShare = random.nextDouble();
				for (String domain : List.of("a", "b", "c")) {
					for (int i = 0; i < 6; i++) {
						RelayHost host = ReachFixture.host(domain + i, domain);
						hosts.add(host);
						if (random.nextDouble() >= cutShare) {
							reaching.add(host.name());
						}
					}
				}
				cutFleet.hosts.replace(hosts);
				for (int request = 0; request < 60; request++) {
					String id = List.of("s", "t", "u").get(random.nextInt(3)) + (1 + random.nextInt(4));
					boolean served = play(cutFleet, id, reaching, random);
					if (request >= 30 && !served && !reaching.isEmpty()) {
						afterTheFirstRequests++;
					}
					cutFleet.clock.advance(random.nextInt(60));
				}
			}
			assertThat(afterTheFirstRequests).isZero();
		}

		// Returns whether one of the attempts of a request reached the target.
		private boolean play(ReachFixture cutFleet, String id, Set<String> reaching, Random random) {
			for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
				PathChooser.Choice choice = cutFleet.choose(id);
				if (choice == null) {
					return false;
				}
				if (choice.path() instanceof TargetPath.Relayed path) {
					if (reaching.contains(path.host().name())) {
						cutFleet.hosts.recordReached(path.host(), id);
						return true;
					}
					if (random.nextBoolean()) {
						cutFleet.hosts.recordCutOff(path.host());
					}
					else {
						cutFleet.hosts.recordUnreached(path.host(), id, false);
					}
				}
				else {
					cutFleet.fail(id, ConnectFailure.REFUSED);
				}
			}
			return false;
		}

	}

}
