package org.plantainspur.core.routing;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationView;
import org.plantainspur.core.configuration.ServicePolicy;
import org.plantainspur.core.health.HealthView;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against hosts that together admit more than the usable targets can run, and
 * against capacity that no host may use.
 */
class SharedCapacityLimitTests {

	private final ManualClock clock = new ManualClock().advance(10_000);

	private final ConfigurationView view = new ConfigurationView();

	private final HealthView health = new HealthView(this.clock);

	private final AtomicReference<TargetDirectory> directory = new AtomicReference<>(TargetDirectory.empty());

	private final SharedCapacityLimit limit = new SharedCapacityLimit(this.clock, this.directory, this.view,
			this.health);

	@BeforeEach
	void listFiveTargetsOfFourSlots() {
		policy(0.5, 0);
		this.directory.set(TargetDirectory.of(List.of(target("a", false), target("b", false), target("c", false),
				target("d", false), target("e", false))));
	}

	private static Target target(String id, boolean leaving) {
		return new Target(id, "booking", "127.0.0.1:9", "pdx", "pdx-a", 4, 400, leaving);
	}

	private void policy(double floor, double headroom) {
		Configuration before = this.view.current();
		this.view.advance(before.apply(new ChangeEntry(before.sequence() + 1, "id",
				new Change.PutService(new ServicePolicy("booking", floor, headroom)))));
	}

	private void verdicts(List<String> leaving, PeerMessage.Verdict... verdicts) {
		this.health.apply(this.health.beginReport("booking", "p0"),
				new PeerMessage.Verdicts("booking", List.of(verdicts), 2500, false, leaving));
	}

	private static PeerMessage.Verdict loaded(String id, int load) {
		return new PeerMessage.Verdict(id, false, 1, load, 0, "");
	}

	private static PeerMessage.Verdict ejected(String id, int load) {
		return new PeerMessage.Verdict(id, true, 0.1, load, 30, "");
	}

	private int limit(int inUse) {
		return this.limit.limit("booking", inUse);
	}

	@Nested
	class OtherHosts {

		@Test
		void leaveTheRestOfTheSlotsSoThatNoTargetIsOverloaded() {
			verdicts(List.of(), loaded("a", 4), loaded("b", 3));
			assertThat(limit(0)).isEqualTo(13);
		}

		@Test
		void areNotChargedForTheRequestsOfThisHost() {
			verdicts(List.of(), loaded("a", 4), loaded("b", 3));
			assertThat(limit(5)).isEqualTo(18);
		}

		@Test
		void doNotFreeSlotsWhileTheReportedLoadLagsBehindThisHost() {
			verdicts(List.of(), loaded("a", 2));
			assertThat(limit(9)).isEqualTo(20);
		}

		@Test
		void thatUseEverythingStillLeaveOneRequestSoThatThisHostIsNotShutOut() {
			verdicts(List.of(), loaded("a", 30));
			assertThat(limit(0)).isEqualTo(1);
		}

	}

	@Nested
	class Headroom {

		@Test
		void staysFree() {
			policy(0.5, 0.25);
			assertThat(limit(0)).isEqualTo(15);
		}

		@Test
		void ofEverythingStillLeavesOneRequest() {
			policy(0.5, 1);
			assertThat(limit(0)).isEqualTo(1);
		}

	}

	@Nested
	class TargetWithoutNewRequests {

		@Test
		void addsNeitherSlotsNorLoadIfItIsEjected() {
			verdicts(List.of(), ejected("a", 4), loaded("b", 1));
			assertThat(limit(0)).isEqualTo(15);
		}

		@Test
		void addsItsSlotsAgainWhenTheEjectionExpires() {
			verdicts(List.of(), ejected("a", 0));
			SharedCapacityLimitTests.this.clock.advance(2500);
			assertThat(limit(0)).isEqualTo(20);
		}

		@Test
		void addsItsSlotsIfTheFloorKeepsItInUse() {
			policy(0.8, 0);
			verdicts(List.of(), ejected("a", 0), ejected("b", 0), ejected("c", 0));
			assertThat(limit(0)).isEqualTo(16);
		}

		@Test
		void addsNoSlotsIfThePlatformListsItAsLeaving() {
			SharedCapacityLimitTests.this.directory
				.set(TargetDirectory.of(List.of(target("a", true), target("b", false))));
			assertThat(limit(0)).isEqualTo(4);
		}

		@Test
		void addsNoSlotsIfAnotherHostSawItLeave() {
			verdicts(List.of("a"));
			assertThat(limit(0)).isEqualTo(16);
		}

	}

	@Nested
	class ServiceWithoutTargets {

		@Test
		void admitsOneRequestSoThatItIsRefusedAtOnceAndDoesNotWait() {
			assertThat(SharedCapacityLimitTests.this.limit.limit("offers", 0)).isEqualTo(1);
		}

	}

}
