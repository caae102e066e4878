package org.plantainspur.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.store.TableStates;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

class FleetViewTests {

	private final ManualClock clock = new ManualClock();

	private final FleetView view = new FleetView(new LiveHosts(this.clock), this.clock);

	private static HostHeartbeat heartbeat(String host, long startMs, String domain, boolean acceptingCallers,
			DomainDigest... digests) {
		return new HostHeartbeat(host, startMs, domain, host + ":80", host + ":81", 1, acceptingCallers, 1,
				TableStates.NONE, 0, Map.of(), List.of(), List.of(), List.of(), List.of(digests), List.of(), List.of());
	}

	private static DomainDigest digest(String domain, long createdMs) {
		return new DomainDigest(domain, "b1", createdMs, Map.of("mill", new AccountUsage(createdMs, 1)), List.of(),
				List.of());
	}

	/**
	 * Guards against callers that are sent to hosts which are down or do not accept them,
	 * and against heartbeats of an ended process that hide those of its successor.
	 */
	@Nested
	class DomainHosts {

		private final HostHeartbeat own = heartbeat("a2", 1, "a", true);

		@Test
		void liveHostsOfTheDomainAreListedInOrderOfTheirNames() {
			FleetViewTests.this.view.receive(heartbeat("a3", 1, "a", true));
			FleetViewTests.this.view.receive(heartbeat("a1", 1, "a", true));
			FleetViewTests.this.view.receive(heartbeat("b1", 1, "b", true));
			assertThat(FleetViewTests.this.view.domainHosts(this.own)).extracting(HostHeartbeat::host)
				.containsExactly("a1", "a2", "a3");
			FleetViewTests.this.clock.advance(LiveHosts.HEARTBEAT_TIMEOUT_MS);
			assertThat(FleetViewTests.this.view.domainHosts(this.own)).extracting(HostHeartbeat::host)
				.containsExactly("a2");
		}

		@Test
		void aHeartbeatOfAnEarlierProcessDoesNotReplaceALaterOne() {
			FleetViewTests.this.view.receive(heartbeat("a1", 9, "a", true));
			FleetViewTests.this.view.receive(heartbeat("a1", 3, "a", false));
			assertThat(FleetViewTests.this.view.domainHosts(this.own).get(0).acceptingCallers()).isTrue();
		}

		@Test
		void callersAreSentToTheFirstHostsThatAcceptThem() {
			TrafficHostSelector selector = new LargestHostsSelector(2);
			assertThat(selector.select(List.of(heartbeat("a1", 1, "a", false), heartbeat("a2", 1, "a", true),
					heartbeat("a3", 1, "a", true), heartbeat("a4", 1, "a", true))))
				.extracting(HostHeartbeat::host)
				.containsExactly("a2", "a3");
		}

	}

	/**
	 * Guards against a selection by name alone: hosts with 0.3 cores would carry the
	 * traffic of a failure domain that has hosts with 1.5 cores.
	 */
	@Nested
	class HostSizes {

		private HostHeartbeat hostWithCores(String host, double cores) {
			return new HostHeartbeat(host, 1, "a", host, host, cores, true, 1, TableStates.NONE, 0, Map.of(), List.of(),
					List.of(), List.of(), List.of(), List.of(), List.of());
		}

		private List<String> select(HostHeartbeat... hosts) {
			return new LargestHostsSelector(3).select(List.of(hosts)).stream().map(HostHeartbeat::host).toList();
		}

		@Test
		void theLargestHostsCarryTheTraffic() {
			assertThat(select(hostWithCores("a1", 0.3), hostWithCores("a2", 1.5), hostWithCores("a3", 0.3),
					hostWithCores("a4", 1.5)))
				.containsExactly("a2", "a4");
		}

		@Test
		void aSmallHostIsAddedWhenOnlyOneLargeHostIsLeft() {
			assertThat(select(hostWithCores("a1", 0.3), hostWithCores("a2", 1.5), hostWithCores("a3", 0.3)))
				.containsExactly("a2", "a1");
		}

		@Test
		void hostsOfEqualSizeAreSelectedInOrderOfTheirNames() {
			assertThat(select(hostWithCores("a1", 0.6), hostWithCores("a2", 0.6), hostWithCores("a3", 0.6),
					hostWithCores("a4", 0.6)))
				.containsExactly("a1", "a2", "a3");
		}

	}

	/**
	 * Guards against old digests that replace newer ones or are relayed again, and
	 * against using the digest of a failure domain that no longer sends any.
	 */
	@Nested
	class Digests {

		@Test
		void onlyANewerDigestOfADomainIsReturned() {
			assertThat(FleetViewTests.this.view.receive(heartbeat("b1", 1, "b", true, digest("b", 5)))).hasSize(1);
			assertThat(FleetViewTests.this.view.receive(heartbeat("a1", 1, "a", true, digest("b", 5)))).isEmpty();
			assertThat(FleetViewTests.this.view.receive(heartbeat("b1", 1, "b", true, digest("b", 4)))).isEmpty();
			assertThat(FleetViewTests.this.view.otherDomains()).containsExactly(digest("b", 5));
		}

		@Test
		void theDigestOfASilentDomainExpires() {
			FleetViewTests.this.view.receive(heartbeat("b1", 1, "b", true, digest("b", 5)));
			FleetViewTests.this.clock.advance(FleetView.DIGEST_VALID_MS);
			assertThat(FleetViewTests.this.view.otherDomains()).isEmpty();
		}

	}

	/**
	 * Guards against other failure domains that admit too many requests because they do
	 * not know of a sudden rise, and against digests that report no relevant change.
	 */
	@Nested
	class Schedule {

		private final DigestSchedule schedule = new DigestSchedule();

		private boolean isDue(double rate, boolean nearLimit, long nowMs) {
			return !dueUsage(rate, nearLimit, nowMs).isEmpty();
		}

		private Map<String, AccountUsage> dueUsage(double rate, boolean nearLimit, long nowMs) {
			return this.schedule.due(Map.of("mill", new AccountUsage(nowMs, rate), "port", new AccountUsage(nowMs, 10)),
					nearLimit ? Set.of("mill") : Set.of(), nowMs);
		}

		@Test
		void ratesThatHardlyChangeAreSentOnlyAtTheFullInterval() {
			assertThat(isDue(10, false, 0)).isTrue();
			assertThat(isDue(11, false, 1_000)).isFalse();
			assertThat(isDue(9, false, DigestSchedule.FULL_INTERVAL_MS)).isTrue();
		}

		@Test
		void aSuddenRiseIsSentAtTheNextChangesInterval() {
			assertThat(isDue(10, false, 0)).isTrue();
			assertThat(isDue(20, false, 100)).isFalse();
			assertThat(isDue(20, false, DigestSchedule.CHANGES_INTERVAL_MS)).isTrue();
		}

		@Test
		void anAccountNearItsLimitIsSentAtEveryChangesInterval() {
			assertThat(isDue(10, true, 0)).isTrue();
			assertThat(isDue(10, true, DigestSchedule.CHANGES_INTERVAL_MS)).isTrue();
		}

		/**
		 * Guards against digests of all accounts each time that one of them is near its
		 * limit: bytes between failure domains are billed.
		 */
		@Test
		void onlyAccountsThatChangedOrAreNearTheirLimitAreSentInBetween() {
			assertThat(dueUsage(10, true, 0)).containsOnlyKeys("mill", "port");
			assertThat(dueUsage(10, true, 300)).containsOnlyKeys("mill");
			assertThat(dueUsage(20, false, 600)).containsOnlyKeys("mill");
			assertThat(dueUsage(20, false, DigestSchedule.FULL_INTERVAL_MS)).containsOnlyKeys("mill", "port");
		}

	}

	/**
	 * Guards against totals that fall or jump when a host starts and counts from zero.
	 */
	@Nested
	class Totals {

		@Test
		void totalsKeepRisingWhenAHostRestarts() {
			DomainUsageTotals totals = new DomainUsageTotals();
			assertThat(totals.add(List.of(hostWithCount("a1", 100), hostWithCount("a2", 50))).get("mill").count())
				.isZero();
			assertThat(totals.add(List.of(hostWithCount("a1", 110), hostWithCount("a2", 55))).get("mill").count())
				.isEqualTo(15);
			assertThat(totals.add(List.of(hostWithCount("a1", 3), hostWithCount("a2", 60))).get("mill").count())
				.isEqualTo(20);
			assertThat(totals.add(List.of(hostWithCount("a1", 7), hostWithCount("a2", 60))).get("mill").count())
				.isEqualTo(24);
		}

		private HostHeartbeat hostWithCount(String host, long count) {
			return new HostHeartbeat(host, 1, "a", "x:1", "x:2", 1, true, 1, TableStates.NONE, 0,
					Map.of("mill", new AccountUsage(count, 1)), List.of(), List.of(), List.of(), List.of(), List.of(),
					List.of());
		}

	}

}
