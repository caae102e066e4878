package org.plantainspur.core.health;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against verdicts that outlive their time or come from a coordinator that this
 * host has left.
 */
class HealthViewTests {

	private final ManualClock clock = new ManualClock();

	private final HealthView view = new HealthView(this.clock);

	private static PeerMessage.Verdicts ejecting(boolean settling, String... ids) {
		return new PeerMessage.Verdicts(HealthFixtures.SERVICE,
				List.of(ids).stream().map((id) -> new PeerMessage.Verdict(id, true, 0.1, 0, 30, "")).toList(), 2500,
				settling, List.of());
	}

	private HealthView.ReportTicket reporting(String coordinator) {
		return this.view.reporting(HealthFixtures.SERVICE, coordinator);
	}

	private List<String> held() {
		return this.view.ejectedHeld(HealthFixtures.SERVICE);
	}

	@Nested
	class Expiry {

		@Test
		void countsFromBeforeTheReportWasSent() {
			HealthView.ReportTicket ticket = reporting("p0");
			HealthViewTests.this.clock.advance(2000);
			HealthViewTests.this.view.apply(ticket, ejecting(false, "t1"));
			HealthViewTests.this.clock.advance(499);
			assertThat(held()).containsExactly("t1");
			HealthViewTests.this.clock.advance(1);
			assertThat(held()).isEmpty();
		}

		@Test
		void leavesTheSlowStartWeight() {
			HealthViewTests.this.view.apply(reporting("p0"), ejecting(false, "t1"));
			HealthViewTests.this.clock.advance(2500);
			assertThat(HealthViewTests.this.view.service(HealthFixtures.SERVICE)
				.target("t1")
				.weightAt(HealthViewTests.this.clock.millis())).isEqualTo(0.1);
		}

	}

	@Nested
	class Reason {

		@Test
		void isHeldUntilANewerVerdictSoThatOperatorsSeeTheEvidence() {
			HealthViewTests.this.view.apply(reporting("p0"), because("failures against siblings"));
			assertThat(reason()).isEqualTo("failures against siblings");
			HealthViewTests.this.view.apply(reporting("p0"), because(""));
			assertThat(reason()).isEmpty();
		}

		@Test
		void ofAnEjectionIsKeptWhileANewCoordinatorSettles() {
			HealthViewTests.this.view.apply(reporting("p0"), because("failures against siblings"));
			HealthViewTests.this.view.apply(reporting("p1"), ejecting(true));
			assertThat(reason()).isEqualTo("failures against siblings");
		}

		private static PeerMessage.Verdicts because(String reason) {
			return new PeerMessage.Verdicts(HealthFixtures.SERVICE,
					List.of(new PeerMessage.Verdict("t1", true, 0.1, 0, 30, reason)), 2500, false, List.of());
		}

		private String reason() {
			return HealthViewTests.this.view.service(HealthFixtures.SERVICE).target("t1").reason();
		}

	}

	@Nested
	class Answers {

		@Test
		void ofAnEarlierCoordinatorAreDropped() {
			HealthView.ReportTicket old = reporting("p0");
			reporting("p1");
			HealthViewTests.this.view.apply(old, ejecting(false, "t1"));
			assertThat(held()).isEmpty();
		}

		/**
		 * Another coordinator may have ejected others meanwhile, on this host's word that
		 * it accepts no earlier verdict.
		 */
		@Test
		void toAReportBeforeTheLastChangeOfTheCoordinatorAreDropped() {
			HealthView.ReportTicket old = reporting("p0");
			reporting("p1");
			HealthView.ReportTicket again = reporting("p0");
			HealthViewTests.this.view.apply(old, ejecting(false, "t1"));
			assertThat(held()).isEmpty();
			HealthViewTests.this.view.apply(again, ejecting(false, "t2"));
			assertThat(held()).containsExactly("t2");
		}

		@Test
		void thatAreOvertakenAreDropped() {
			HealthView.ReportTicket first = reporting("p0");
			HealthView.ReportTicket second = reporting("p0");
			HealthViewTests.this.view.apply(second, ejecting(false));
			HealthViewTests.this.view.apply(first, ejecting(false, "t1"));
			assertThat(held()).isEmpty();
		}

		@Test
		void ofACoordinatorThatSettlesKeepWhatIsHeldButDoNotProlongIt() {
			HealthViewTests.this.view.apply(reporting("p0"), ejecting(false, "t1"));
			HealthViewTests.this.clock.advance(2000);
			HealthViewTests.this.view.apply(reporting("p1"), ejecting(true));
			assertThat(held()).containsExactly("t1");
			HealthViewTests.this.clock.advance(500);
			assertThat(held()).isEmpty();
		}

		@Test
		void withAnOddWeightGiveAtLeastTenPercent() {
			PeerMessage.Verdict odd = new PeerMessage.Verdict("t1", false, Double.NaN, -4, 0, "");
			HealthViewTests.this.view.apply(reporting("p0"),
					new PeerMessage.Verdicts(HealthFixtures.SERVICE, List.of(odd), 2500, false, List.of()));
			assertThat(HealthViewTests.this.view.service(HealthFixtures.SERVICE).target("t1"))
				.extracting(HealthView.TargetHealth::weight, HealthView.TargetHealth::load)
				.containsExactly(0.1, 0);
		}

	}

}
