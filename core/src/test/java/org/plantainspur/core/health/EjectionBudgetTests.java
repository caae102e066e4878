package org.plantainspur.core.health;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;

import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.routing.Target;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against ejections that together take a service below its floor, when
 * coordinators change, restart or overlap, members are removed, target lists change, and
 * reports and verdicts are lost or late. The judge finds targets sick at random, which is
 * worse than any real one.
 */
class EjectionBudgetTests {

	private static final int STEPS = 600;

	private static int slots(List<Target> targets, Set<String> ids) {
		return targets.stream().filter((target) -> ids.contains(target.id())).mapToInt(Target::slots).sum();
	}

	@Group
	class UnionOverHosts {

		@Property(seed = "20261204", tries = 400)
		void holdsNoMoreThanTheBudgetOfAListThatStays(@ForAll long schedule) {
			HealthSchedule fleet = new HealthSchedule(schedule, false);
			for (int i = 0; i < STEPS; i++) {
				fleet.step();
				Set<String> held = fleet.held();
				assertThat(slots(fleet.targets(), held)).as("schedule %d, step %d, held %s", schedule, i, held)
					.isLessThanOrEqualTo(fleet.budget());
			}
		}

		/**
		 * No process can keep to a list that it does not know, so the budget is the
		 * largest of those that running processes know.
		 */
		@Property(seed = "20261204", tries = 400)
		void leavesTheFloorOfTheKnownListsInUse(@ForAll long schedule) {
			HealthSchedule fleet = new HealthSchedule(schedule, true);
			for (int i = 0; i < STEPS; i++) {
				fleet.step();
				Set<String> unused = fleet.unused();
				assertThat(slots(fleet.targets(), unused)).as("schedule %d, step %d, unused %s", schedule, i, unused)
					.isLessThanOrEqualTo(Math.max(fleet.budget(), fleet.largestKnownBudget()));
			}
		}

		@Property(seed = "20261204", tries = 400)
		void leavesTheFloorOfTheListInUseOnceEveryProcessHasHadTimeToReadIt(@ForAll long schedule) {
			HealthSchedule fleet = new HealthSchedule(schedule, true);
			for (int i = 0; i < STEPS; i++) {
				fleet.step();
				if (fleet.sinceListOrResumption() > HealthSchedule.LIST_DELAY_MILLIS) {
					Set<String> unused = fleet.unused();
					assertThat(slots(fleet.targets(), unused))
						.as("schedule %d, step %d, unused %s", schedule, i, unused)
						.isLessThanOrEqualTo(fleet.budget());
				}
			}
		}

	}

	@Group
	class Progress {

		/** Otherwise the properties above would hold for want of ejections. */
		@Example
		void targetsAreEjectedInMostSchedules() {
			int withEjections = 0;
			for (long seed = 0; seed < 40; seed++) {
				HealthSchedule fleet = new HealthSchedule(seed, seed % 2 == 0);
				boolean held = false;
				for (int i = 0; i < STEPS; i++) {
					fleet.step();
					held |= !fleet.held().isEmpty();
				}
				withEjections += held ? 1 : 0;
			}
			assertThat(withEjections).isGreaterThan(20);
		}

		/** Otherwise the properties above would say nothing about these failures. */
		@Example
		void coordinatorsRestartAndOverlapInManySchedules() {
			int restarted = 0;
			int overlapped = 0;
			for (long seed = 0; seed < 40; seed++) {
				HealthSchedule fleet = new HealthSchedule(seed, seed % 2 == 0);
				for (int i = 0; i < STEPS; i++) {
					fleet.step();
				}
				restarted += (fleet.coordinatorRestarts() > 0) ? 1 : 0;
				overlapped += (fleet.rivalSteps() > 0) ? 1 : 0;
			}
			assertThat(restarted).isGreaterThan(10);
			assertThat(overlapped).isGreaterThan(10);
		}

	}

	/** Guards against hosts that each keep to the floor and together do not. */
	@Group
	class ShorterList {

		private static Set<String> unused(PeerMessage.Verdict... verdicts) {
			HealthView view = new HealthView(new ManualClock());
			view.apply(view.reporting(HealthFixtures.SERVICE, "p0"),
					new PeerMessage.Verdicts(HealthFixtures.SERVICE, List.of(verdicts), 2500, false, List.of()));
			Set<String> unused = new HashSet<>();
			List<Target> targets = HealthFixtures.targets(7, 4);
			targets.forEach((target) -> unused.add(target.id()));
			FloorGuard.usable(targets, view.service(HealthFixtures.SERVICE), HealthSchedule.FLOOR, 0)
				.forEach((usable) -> unused.remove(usable.target().id()));
			return unused;
		}

		private static PeerMessage.Verdict ejection(String id, int requiredBudget) {
			return new PeerMessage.Verdict(id, true, requiredBudget, 0.1, 0, 30, "");
		}

		@Example
		void endsTheSameEjectionsAtEachHostWhateverElseItHolds() {
			assertThat(unused(ejection("t0", 4), ejection("t1", 8), ejection("t2", 12))).containsOnly("t0", "t1");
			assertThat(unused(ejection("t1", 8), ejection("t2", 12))).containsOnly("t1");
			assertThat(unused(ejection("t2", 12))).isEmpty();
		}

	}

	@Group
	class OneHost {

		@Property(seed = "20261204", tries = 150)
		void usesAtLeastTheFloorWhateverItHolds(@ForAll long seed) {
			Random random = new Random(seed);
			List<Target> targets = HealthSchedule.randomTargets(random);
			double floor = random.nextInt(11) / 10.0;
			Map<String, HealthView.TargetHealth> held = new HashMap<>();
			for (int i = 0; i < 2 * targets.size(); i++) {
				held.put("t" + i, new HealthView.TargetHealth(random.nextInt(4) > 0, random.nextInt(9),
						random.nextDouble(), random.nextInt(9), random.nextDouble(), "", random.nextInt(200)));
			}
			List<FloorGuard.Usable> usable = FloorGuard.usable(targets,
					new HealthView.ServiceHealth("p0", 1, held, Map.of()), floor, 100);
			int slots = usable.stream().mapToInt((entry) -> entry.target().slots()).sum();
			assertThat(slots).isGreaterThanOrEqualTo(FloorGuard.floorSlots(targets, floor)).isPositive();
			assertThat(usable).allMatch((entry) -> entry.weight() > 0 || !held.get(entry.target().id()).ejected());
		}

	}

}
