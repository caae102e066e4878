package org.plantainspur.core.health;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against applying verdicts that have expired or that come from an earlier
 * coordinator.
 */
class HealthViewTests {

	private final ManualClock clock = new ManualClock();

	private final HealthView view = new HealthView(this.clock);

	private static PeerMessage.Verdicts ejecting(boolean settling, String... ids) {
		return new PeerMessage.Verdicts(HealthFixtures.SERVICE,
				List.of(ids).stream().map((id) -> new PeerMessage.Verdict(id, true, 0.1, 0, 30, "")).toList(), 2500,
				settling, List.of());
	}

	private HealthView.SentReport beginReport(String coordinator) {
		return this.view.beginReport(HealthFixtures.SERVICE, coordinator);
	}

	private List<String> held() {
		return this.view.ejectedTargetIds(HealthFixtures.SERVICE);
	}

	@Nested
	class Expiry {

		@Test
		void isCountedFromTheStartOfTheReport() {
			HealthView.SentReport sentReport = beginReport("p0");
			HealthViewTests.this.clock.advance(2000);
			HealthViewTests.this.view.apply(sentReport, ejecting(false, "t1"));
			HealthViewTests.this.clock.advance(499);
			assertThat(held()).containsExactly("t1");
			HealthViewTests.this.clock.advance(1);
			assertThat(held()).isEmpty();
		}

		@Test
		void leavesTheSlowStartWeight() {
			HealthViewTests.this.view.apply(beginReport("p0"), ejecting(false, "t1"));
			HealthViewTests.this.clock.advance(2500);
			assertThat(HealthViewTests.this.view.service(HealthFixtures.SERVICE)
				.target("t1")
				.weightAt(HealthViewTests.this.clock.millis())).isEqualTo(0.1);
		}

	}

	@Nested
	class Reason {

		@Test
		void isKeptForOperatorsUntilANewerVerdict() {
			HealthViewTests.this.view.apply(beginReport("p0"), ejectedBecause("failures against siblings"));
			assertThat(reason()).isEqualTo("failures against siblings");
			HealthViewTests.this.view.apply(beginReport("p0"), ejectedBecause(""));
			assertThat(reason()).isEmpty();
		}

		@Test
		void ofAnEjectionIsKeptWhileANewCoordinatorSettles() {
			HealthViewTests.this.view.apply(beginReport("p0"), ejectedBecause("failures against siblings"));
			HealthViewTests.this.view.apply(beginReport("p1"), ejecting(true));
			assertThat(reason()).isEqualTo("failures against siblings");
		}

		private static PeerMessage.Verdicts ejectedBecause(String reason) {
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
			HealthView.SentReport earlier = beginReport("p0");
			beginReport("p1");
			HealthViewTests.this.view.apply(earlier, ejecting(false, "t1"));
			assertThat(held()).isEmpty();
		}

		/**
		 * Guards against ejections beyond the budget: the other coordinator may have
		 * ejected other targets, relying on this host's report that it accepts no earlier
		 * verdict.
		 */
		@Test
		void toAReportBeforeTheLastCoordinatorChangeAreDropped() {
			HealthView.SentReport earlier = beginReport("p0");
			beginReport("p1");
			HealthView.SentReport latest = beginReport("p0");
			HealthViewTests.this.view.apply(earlier, ejecting(false, "t1"));
			assertThat(held()).isEmpty();
			HealthViewTests.this.view.apply(latest, ejecting(false, "t2"));
			assertThat(held()).containsExactly("t2");
		}

		@Test
		void thatArriveAfterANewerOneAreDropped() {
			HealthView.SentReport first = beginReport("p0");
			HealthView.SentReport second = beginReport("p0");
			HealthViewTests.this.view.apply(second, ejecting(false));
			HealthViewTests.this.view.apply(first, ejecting(false, "t1"));
			assertThat(held()).isEmpty();
		}

		@Test
		void ofASettlingCoordinatorKeepHeldEjectionsWithoutExtendingThem() {
			HealthViewTests.this.view.apply(beginReport("p0"), ejecting(false, "t1"));
			HealthViewTests.this.clock.advance(2000);
			HealthViewTests.this.view.apply(beginReport("p1"), ejecting(true));
			assertThat(held()).containsExactly("t1");
			HealthViewTests.this.clock.advance(500);
			assertThat(held()).isEmpty();
		}

		@Test
		void withAnInvalidWeightOrLoadAreCorrected() {
			PeerMessage.Verdict invalid = new PeerMessage.Verdict("t1", false, Double.NaN, -4, 0, "");
			HealthViewTests.this.view.apply(beginReport("p0"),
					new PeerMessage.Verdicts(HealthFixtures.SERVICE, List.of(invalid), 2500, false, List.of()));
			assertThat(HealthViewTests.this.view.service(HealthFixtures.SERVICE).target("t1"))
				.extracting(HealthView.TargetHealth::weight, HealthView.TargetHealth::load)
				.containsExactly(0.1, 0);
		}

	}

}
