package org.plantainspur.core.health;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.routing.Target;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

/**
 * Guards against a coordinator that ejects too early, ejects too many targets, readmits
 * them too early or gives a readmitted target its full weight at once. An ejection stays
 * charged for 2,600 ms, the verdict lifetime lengthened by the clock margin.
 */
class HealthCoordinatorTests {

	private final ManualClock clock = new ManualClock();

	private final Map<String, Double> severity = new HashMap<>();

	private final Membership members = HealthFixtures.members(2);

	private List<Target> targets = HealthFixtures.targets(10, 4);

	private boolean current = true;

	private final HealthCoordinator coordinator = new HealthCoordinator(HealthFixtures.SERVICE, this.clock,
			new StubDetector(), () -> this.targets, () -> 0.7, () -> this.current);

	@BeforeEach
	void becomeCoordinatorAndWait() {
		this.coordinator.updateMembership(1, this.members, true);
		this.clock.advance(6000);
	}

	// The held ejections require 4, 8, 12 ... slots, as if each target had 4 slots.
	private PeerMessage.Verdicts report(int host, long sequence, String... held) {
		List<PeerMessage.HeldEjection> ejections = new ArrayList<>();
		for (String id : held) {
			ejections.add(new PeerMessage.HeldEjection(id, 4 * (ejections.size() + 1)));
		}
		return this.coordinator.report(
				new PeerMessage.Report("h" + host, "p" + host, sequence, HealthFixtures.SERVICE, List.of(), ejections));
	}

	private Set<String> ejected(PeerMessage.Verdicts verdicts) {
		Set<String> ids = new HashSet<>();
		verdicts.verdicts()
			.stream()
			.filter(PeerMessage.Verdict::ejected)
			.forEach((verdict) -> ids.add(verdict.targetId()));
		return ids;
	}

	private double weight(PeerMessage.Verdicts verdicts, String id) {
		return verdicts.verdicts()
			.stream()
			.filter((verdict) -> verdict.targetId().equals(id))
			.mapToDouble(PeerMessage.Verdict::weight)
			.sum();
	}

	// Marks the targets in order of decreasing severity.
	private void markUnhealthy(String... ids) {
		for (String id : ids) {
			this.severity.put(id, 30.0 + ids.length - this.severity.size());
		}
	}

	/**
	 * Guards against slow detection and against an unbounded number of report requests.
	 */
	@Nested
	class ReportRequests {

		private boolean requestedAfterReport() {
			report(0, 1);
			return HealthCoordinatorTests.this.coordinator.takeReportRequest();
		}

		@Test
		void areNotMadeWhileNoTargetIsNearTheThreshold() {
			assertThat(requestedAfterReport()).isFalse();
		}

		@Test
		void areMadeOnceAfterANewEjection() {
			markUnhealthy("t1");
			assertThat(requestedAfterReport()).isTrue();
			HealthCoordinatorTests.this.clock.advance(1000);
			assertThat(requestedAfterReport()).isFalse();
		}

		/**
		 * Guards against hosts that receive a new ejection only with their next regular
		 * report.
		 */
		@Test
		void areMadeForANewEjectionRightAfterAnotherRequest() {
			markUnhealthy("t1");
			assertThat(requestedAfterReport()).isTrue();
			HealthCoordinatorTests.this.clock.advance(ReportRequestBudget.INTERVAL_MILLIS / 2);
			markUnhealthy("t2");
			assertThat(requestedAfterReport()).isTrue();
		}

		@Test
		void areNotMadeByAProcessThatMayNotEject() {
			HealthCoordinatorTests.this.current = false;
			markUnhealthy("t1");
			assertThat(requestedAfterReport()).isFalse();
		}

		@Test
		void areBoundedWhileUnhealthyTargetsExceedTheBudget() {
			markUnhealthy("t0", "t1", "t2", "t3", "t4", "t5", "t6", "t7");
			int requests = 0;
			for (int millis = 0; millis < 60_000; millis += 10) {
				HealthCoordinatorTests.this.clock.advance(10);
				requests += requestedAfterReport() ? 1 : 0;
			}
			assertThat(requests).isBetween(2, 60_000 / 500 + ReportRequestBudget.BURST);
		}

	}

	/**
	 * Guards against a new coordinator that exceeds the ejection budget, since it does
	 * not know which ejections hosts still hold.
	 */
	@Nested
	class NewCoordinator {

		@Test
		void ejectsNothingUntilEarlierVerdictsHaveExpired() {
			HealthCoordinatorTests.this.coordinator.updateMembership(5, HealthCoordinatorTests.this.members, true);
			markUnhealthy("t1");
			assertThat(ejected(report(0, 5))).isEmpty();
			// The wait is the fencing timeout and the verdict lifetime, lengthened by
			// the clock margin: 5,660 ms.
			HealthCoordinatorTests.this.clock.advance(5600);
			assertThat(ejected(report(0, 5))).isEmpty();
			HealthCoordinatorTests.this.clock.advance(100);
			assertThat(ejected(report(0, 5))).containsExactly("t1");
		}

		@Test
		void ejectsOnceEveryMemberHasReportedToIt() {
			HealthCoordinatorTests.this.coordinator.updateMembership(2, HealthCoordinatorTests.this.members, false);
			HealthCoordinatorTests.this.coordinator.updateMembership(3, HealthCoordinatorTests.this.members, true);
			markUnhealthy("t1");
			assertThat(report(0, 3).settling()).isTrue();
			assertThat(report(1, 2).settling()).as("a report from before the change").isTrue();
			assertThat(ejected(report(1, 3))).containsExactly("t1");
		}

		/**
		 * Guards against restoring an old assignment when configuration listeners run out
		 * of order.
		 */
		@Test
		void ignoresAnOlderSequenceNumberThatArrivesLate() {
			HealthCoordinatorTests.this.coordinator.updateMembership(2, HealthCoordinatorTests.this.members, false);
			HealthCoordinatorTests.this.coordinator.updateMembership(1, HealthCoordinatorTests.this.members, true);
			HealthCoordinatorTests.this.clock.advance(6000);
			markUnhealthy("t1");
			assertThat(ejected(report(0, 2))).isEmpty();
		}

		@Test
		void keepsTheEjectionsThatItsHostsHold() {
			HealthCoordinatorTests.this.coordinator.updateMembership(2, HealthCoordinatorTests.this.members, false);
			HealthCoordinatorTests.this.coordinator.updateMembership(3, HealthCoordinatorTests.this.members, true);
			report(0, 3, "t4");
			assertThat(ejected(report(1, 3))).containsExactly("t4");
		}

		@Test
		void countsTheEjectionsThatItsHostsHoldAgainstTheBudget() {
			HealthCoordinatorTests.this.coordinator.updateMembership(2, HealthCoordinatorTests.this.members, false);
			HealthCoordinatorTests.this.coordinator.updateMembership(3, HealthCoordinatorTests.this.members, true);
			markUnhealthy("t1", "t2", "t3");
			report(0, 3, "t4", "t5");
			assertThat(ejected(report(1, 3))).hasSize(3).contains("t4", "t5");
		}

	}

	@Nested
	class Budget {

		@Test
		void leavesTheLeastUnhealthyInUseAtReducedWeight() {
			markUnhealthy("t0", "t1", "t2", "t3", "t4");
			PeerMessage.Verdicts verdicts = report(0, 1);
			assertThat(ejected(verdicts)).containsExactlyInAnyOrder("t0", "t1", "t2");
			assertThat(weight(verdicts, "t4")).isEqualTo(0.1);
		}

		@Test
		void isNotSpentAgainBeforeReleasedEjectionsHaveExpired() {
			markUnhealthy("t0", "t1", "t2");
			report(0, 1);
			HealthCoordinatorTests.this.clock.advance(4900);
			report(0, 1);
			HealthCoordinatorTests.this.severity.clear();
			HealthCoordinatorTests.this.clock.advance(100);
			report(0, 1);
			markUnhealthy("t5", "t6", "t7");
			assertThat(ejected(report(0, 1))).isEmpty();
			HealthCoordinatorTests.this.clock.advance(2600);
			assertThat(ejected(report(0, 1))).hasSize(3);
		}

		/**
		 * Guards against freeing the budget of ejections that the next answer contains
		 * again.
		 */
		@Test
		void countsEjectionsWhileNoReportArrives() {
			markUnhealthy("t0", "t1", "t2");
			report(0, 1);
			HealthCoordinatorTests.this.clock.advance(4900);
			markUnhealthy("t5", "t6", "t7");
			assertThat(ejected(report(0, 1))).containsExactlyInAnyOrder("t0", "t1", "t2");
		}

		@Test
		void shrinksWhenTargetsAreRemoved() {
			markUnhealthy("t0", "t1", "t2");
			report(0, 1);
			HealthCoordinatorTests.this.targets = HealthFixtures.targets(4, 4);
			assertThat(ejected(report(0, 1))).hasSize(1);
		}

		/**
		 * Guards against hosts with a shorter target list that together exceed its
		 * smaller budget.
		 */
		@Test
		void isAssignedToTheMostUnhealthyFirst() {
			markUnhealthy("t2", "t0", "t1");
			assertThat(report(0, 1).verdicts()).filteredOn(PeerMessage.Verdict::ejected)
				.extracting(PeerMessage.Verdict::targetId, PeerMessage.Verdict::requiredBudget)
				.containsExactlyInAnyOrder(tuple("t2", 4), tuple("t0", 8), tuple("t1", 12));
		}

		@Test
		void releasesTheLeastUnhealthyWhenTargetsLeave() {
			markUnhealthy("t2", "t0", "t1");
			report(0, 1);
			HealthCoordinatorTests.this.targets = HealthFixtures.targets(7, 4);
			PeerMessage.Verdicts verdicts = report(0, 1);
			assertThat(ejected(verdicts)).containsExactlyInAnyOrder("t2", "t0");
			assertThat(weight(verdicts, "t1")).as("still unhealthy").isEqualTo(0.1);
		}

		/**
		 * Guards against exceeding the budget when other targets were ejected while this
		 * one was marked as leaving.
		 */
		@Test
		void isNotSpentOnATargetThatWasMarkedLeavingForAWhile() {
			markUnhealthy("t0", "t1");
			report(0, 1);
			List<Target> all = HealthFixtures.targets(11, 4);
			Target first = all.get(0);
			HealthCoordinatorTests.this.targets = new ArrayList<>(all);
			HealthCoordinatorTests.this.targets.set(0, new Target(first.id(), first.service(), first.address(),
					first.region(), first.failureDomain(), first.slots(), first.connections(), true));
			HealthCoordinatorTests.this.clock.advance(2700);
			markUnhealthy("t2", "t3");
			assertThat(ejected(report(0, 1))).containsExactlyInAnyOrder("t1", "t2", "t3");
			HealthCoordinatorTests.this.targets = all;
			assertThat(ejected(report(0, 1))).containsExactlyInAnyOrder("t1", "t2", "t3");
		}

		/**
		 * Guards against exceeding the budget when a host holds an ejection that this
		 * process does not list: that host may see a larger budget, and this process may
		 * list the target later.
		 */
		@Test
		void isNotSpentWhileAnEjectionOfAnUnlistedTargetIsHeld() {
			markUnhealthy("t1");
			assertThat(ejected(report(0, 1, "t77"))).isEmpty();
			HealthCoordinatorTests.this.clock.advance(2600);
			assertThat(ejected(report(0, 1))).containsExactly("t1");
		}

		@Test
		void isZeroWhileTheConfigurationIsNotCurrent() {
			HealthCoordinatorTests.this.current = false;
			markUnhealthy("t0");
			assertThat(ejected(report(0, 1))).isEmpty();
		}

	}

	@Nested
	class Readmission {

		@Test
		void startsAtTenPercentAfterFiveSeconds() {
			markUnhealthy("t0");
			report(0, 1);
			HealthCoordinatorTests.this.severity.clear();
			HealthCoordinatorTests.this.clock.advance(4999);
			assertThat(ejected(report(0, 1))).containsExactly("t0");
			HealthCoordinatorTests.this.clock.advance(1);
			assertThat(weight(report(0, 1), "t0")).isEqualTo(0.1);
			HealthCoordinatorTests.this.clock.advance(20_000);
			assertThat(weight(report(0, 1), "t0")).isEqualTo(1);
		}

		@Test
		void takesTwiceAsLongAtEachRelapseUpToTenMinutes() {
			long expected = 5000;
			for (int i = 0; i < 10; i++) {
				markUnhealthy("t0");
				report(0, 1);
				HealthCoordinatorTests.this.clock.advance(expected - 1);
				HealthCoordinatorTests.this.severity.clear();
				assertThat(ejected(report(0, 1))).as("relapse %d", i).containsExactly("t0");
				HealthCoordinatorTests.this.clock.advance(1);
				assertThat(ejected(report(0, 1))).as("relapse %d", i).isEmpty();
				expected = Math.min(600_000, expected * 2);
			}
		}

	}

	@Nested
	class Reports {

		@Test
		void ofANonMemberDoNotPermitEjections() {
			HealthCoordinatorTests.this.coordinator.updateMembership(2, HealthCoordinatorTests.this.members, false);
			HealthCoordinatorTests.this.coordinator.updateMembership(3, HealthCoordinatorTests.this.members, true);
			report(0, 3);
			assertThat(HealthCoordinatorTests.this.coordinator
				.report(new PeerMessage.Report("h1", "other-process", 3, HealthFixtures.SERVICE, List.of(), List.of()))
				.settling()).isTrue();
		}

		/**
		 * Guards against ejections held by a process that the next coordinator does not
		 * wait for.
		 */
		@Test
		void ofANonMemberGetNoEjections() {
			markUnhealthy("t1");
			assertThat(ejected(report(0, 1))).containsExactly("t1");
			PeerMessage.Verdicts verdicts = HealthCoordinatorTests.this.coordinator
				.report(new PeerMessage.Report("h1", "other-process", 1, HealthFixtures.SERVICE, List.of(), List.of()));
			assertThat(ejected(verdicts)).isEmpty();
			assertThat(weight(verdicts, "t1")).isEqualTo(0.1);
		}

		@Test
		void spreadThatATargetIsLeaving() {
			PeerMessage.TargetEvidence leaving = new PeerMessage.TargetEvidence("t2", List.of(), List.of(), 0, true);
			HealthCoordinatorTests.this.coordinator
				.report(new PeerMessage.Report("h0", "p0", 1, HealthFixtures.SERVICE, List.of(leaving), List.of()));
			assertThat(report(1, 1).leaving()).containsExactly("t2");
		}

		@Test
		void areSummedIntoTheLoadOfATarget() {
			for (int host = 0; host < 2; host++) {
				PeerMessage.TargetEvidence busy = new PeerMessage.TargetEvidence("t2", List.of(), List.of(), 3, false);
				HealthCoordinatorTests.this.coordinator.report(new PeerMessage.Report("h" + host, "p" + host, 1,
						HealthFixtures.SERVICE, List.of(busy), List.of()));
			}
			assertThat(report(1, 1).verdicts())
				.anyMatch((verdict) -> verdict.targetId().equals("t2") && verdict.load() == 3);
		}

	}

	/** Finds those targets unhealthy that the test has marked. */
	private final class StubDetector implements OutlierDetector {

		@Override
		public void observe(Observation observation) {
		}

		@Override
		public Assessment assess(String targetId) {
			Double severity = HealthCoordinatorTests.this.severity.get(targetId);
			return (severity != null) ? new Assessment(true, severity, Set.of(), "given") : Assessment.HEALTHY;
		}

		@Override
		public void readmitted(String targetId) {
		}

		@Override
		public void retain(Collection<String> targetIds) {
		}

	}

}
