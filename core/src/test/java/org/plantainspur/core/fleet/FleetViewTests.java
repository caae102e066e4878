package org.plantainspur.core.fleet;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.time.HandClock;

import static org.assertj.core.api.Assertions.assertThat;

class FleetViewTests {

	private final HandClock clock = new HandClock();

	private final FleetView view = new FleetView(new Neighbours(this.clock), this.clock);

	private static HostBeat beat(String host, long start, String domain, boolean taking, DomainDigest... digests) {
		return new HostBeat(host, start, domain, host + ":80", host + ":81", 1, taking, 1, 1, 0, Map.of(), List.of(),
				List.of(), List.of(), List.of(digests));
	}

	private static DomainDigest digest(String domain, long stampMs) {
		return new DomainDigest(domain, "b1", stampMs, Map.of("mill", new Usage(stampMs, 1)), List.of(), List.of());
	}

	@Nested
	class Domain {

		private final HostBeat own = beat("a2", 1, "a", true);

		@Test
		void itsHostsAreThoseHeardOfLateInOrderOfTheirNames() {
			FleetViewTests.this.view.heard(beat("a3", 1, "a", true));
			FleetViewTests.this.view.heard(beat("a1", 1, "a", true));
			FleetViewTests.this.view.heard(beat("b1", 1, "b", true));
			assertThat(FleetViewTests.this.view.domain(this.own)).extracting(HostBeat::host)
				.containsExactly("a1", "a2", "a3");
			FleetViewTests.this.clock.advance(Neighbours.SILENCE_MS);
			assertThat(FleetViewTests.this.view.domain(this.own)).extracting(HostBeat::host).containsExactly("a2");
		}

		@Test
		void aBeatOfAnEarlierProcessDoesNotReplaceALaterOne() {
			FleetViewTests.this.view.heard(beat("a1", 9, "a", true));
			FleetViewTests.this.view.heard(beat("a1", 3, "a", false));
			assertThat(FleetViewTests.this.view.domain(this.own).get(0).taking()).isTrue();
		}

		@Test
		void callersAreSentToTheFirstHostsThatTakeThem() {
			EntryChoice choice = new FirstHostsChoice(2);
			assertThat(choice.choose(List.of(beat("a1", 1, "a", false), beat("a2", 1, "a", true),
					beat("a3", 1, "a", true), beat("a4", 1, "a", true))))
				.extracting(HostBeat::host)
				.containsExactly("a2", "a3");
		}

	}

	/**
	 * Hosts of 0.3 cores carried the traffic of a failure domain that has hosts of 1.5
	 * cores, since their names came first.
	 */
	@Nested
	class Sizes {

		private HostBeat sized(String host, double cores) {
			return new HostBeat(host, 1, "a", host, host, cores, true, 1, 1, 0, Map.of(), List.of(), List.of(),
					List.of(), List.of());
		}

		private List<String> chosen(HostBeat... hosts) {
			return new FirstHostsChoice(3).choose(List.of(hosts)).stream().map(HostBeat::host).toList();
		}

		@Test
		void theLargestHostsCarryTheTraffic() {
			assertThat(chosen(sized("a1", 0.3), sized("a2", 1.5), sized("a3", 0.3), sized("a4", 1.5)))
				.containsExactly("a2", "a4");
		}

		@Test
		void aSmallHostHelpsWhenOnlyOneLargeOneIsLeft() {
			assertThat(chosen(sized("a1", 0.3), sized("a2", 1.5), sized("a3", 0.3))).containsExactly("a2", "a1");
		}

		@Test
		void hostsOfOneSizeAreTakenInTheOrderOfTheirNames() {
			assertThat(chosen(sized("a1", 0.6), sized("a2", 0.6), sized("a3", 0.6), sized("a4", 0.6)))
				.containsExactly("a1", "a2", "a3");
		}

	}

	@Nested
	class Digests {

		@Test
		void onlyTheNewestOfADomainIsNews() {
			assertThat(FleetViewTests.this.view.heard(beat("b1", 1, "b", true, digest("b", 5)))).hasSize(1);
			assertThat(FleetViewTests.this.view.heard(beat("a1", 1, "a", true, digest("b", 5)))).isEmpty();
			assertThat(FleetViewTests.this.view.heard(beat("b1", 1, "b", true, digest("b", 4)))).isEmpty();
			assertThat(FleetViewTests.this.view.others()).containsExactly(digest("b", 5));
		}

		@Test
		void aDomainThatIsSilentIsForgottenInTheEnd() {
			FleetViewTests.this.view.heard(beat("b1", 1, "b", true, digest("b", 5)));
			FleetViewTests.this.clock.advance(FleetView.DIGEST_VALID_MS);
			assertThat(FleetViewTests.this.view.others()).isEmpty();
		}

	}

	@Nested
	class Schedule {

		private final DigestSchedule schedule = new DigestSchedule();

		private boolean due(double rate, boolean pressed, long now) {
			return !told(rate, pressed, now).isEmpty();
		}

		private Map<String, Usage> told(double rate, boolean pressed, long now) {
			return this.schedule.due(Map.of("mill", new Usage(now, rate), "port", new Usage(now, 10)),
					pressed ? Set.of("mill") : Set.of(), now);
		}

		@Test
		void sumsThatHardlyChangeGoOutSeldom() {
			assertThat(due(10, false, 0)).isTrue();
			assertThat(due(11, false, 1_000)).isFalse();
			assertThat(due(9, false, DigestSchedule.UNCHANGED_MS)).isTrue();
		}

		@Test
		void aSuddenRiseIsToldAtOnce() {
			assertThat(due(10, false, 0)).isTrue();
			assertThat(due(20, false, 100)).isFalse();
			assertThat(due(20, false, DigestSchedule.CHANGED_MS)).isTrue();
		}

		@Test
		void anAccountThatPressesOnItsLimitIsToldOften() {
			assertThat(due(10, true, 0)).isTrue();
			assertThat(due(10, true, DigestSchedule.CHANGED_MS)).isTrue();
		}

		/**
		 * All accounts were told each time that one of them pressed, and these bytes are
		 * billed.
		 */
		@Test
		void onlyTheAccountsThatMatterGoOutInBetween() {
			assertThat(told(10, true, 0)).containsOnlyKeys("mill", "port");
			assertThat(told(10, true, 300)).containsOnlyKeys("mill");
			assertThat(told(20, false, 600)).containsOnlyKeys("mill");
			assertThat(told(20, false, DigestSchedule.UNCHANGED_MS)).containsOnlyKeys("mill", "port");
		}

	}

	@Nested
	class Sums {

		@Test
		void countsGoOnRisingWhenAHostStartsAgain() {
			DomainTally tally = new DomainTally();
			assertThat(tally.sum(List.of(using("a1", 100), using("a2", 50))).get("mill").count()).isZero();
			assertThat(tally.sum(List.of(using("a1", 110), using("a2", 55))).get("mill").count()).isEqualTo(15);
			assertThat(tally.sum(List.of(using("a1", 3), using("a2", 60))).get("mill").count()).isEqualTo(20);
			assertThat(tally.sum(List.of(using("a1", 7), using("a2", 60))).get("mill").count()).isEqualTo(24);
		}

		private HostBeat using(String host, long count) {
			return new HostBeat(host, 1, "a", "x:1", "x:2", 1, true, 1, 1, 0, Map.of("mill", new Usage(count, 1)),
					List.of(), List.of(), List.of(), List.of());
		}

	}

}
