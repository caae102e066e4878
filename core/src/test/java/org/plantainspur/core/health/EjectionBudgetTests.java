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
 * Guards against ejections that together take a service below its capacity floor when
 * coordinators change, restart or overlap, members are removed, target lists change, and
 * reports and verdicts are lost or late. The detector finds targets unhealthy at random,
 * which is a harder case than any real detector.
 */
class EjectionBudgetTests {

	private static final int STEPS = 600;

	private static int slots(List<Target> targets, Set<String> ids) {
		return targets.stream().filter((target) -> ids.contains(target.id())).mapToInt(Target::slots).sum();
	}

	@Group
	class UnionOverHosts {

		@Property(seed = "20261204", tries = 400)
		void holdsNoMoreThanTheBudgetOfAnUnchangedList(@ForAll long seed) {
			HealthSimulation simulation = new HealthSimulation(seed, false);
			for (int i = 0; i < STEPS; i++) {
				simulation.step();
				Set<String> held = simulation.held();
				assertThat(slots(simulation.targets(), held)).as("seed %d, step %d, held %s", seed, i, held)
					.isLessThanOrEqualTo(simulation.budget());
			}
		}

		/**
		 * A process cannot apply a list that it does not know, so the limit is the
		 * largest budget of the lists that running processes know.
		 */
		@Property(seed = "20261204", tries = 400)
		void leavesTheFloorOfAKnownListInUse(@ForAll long seed) {
			HealthSimulation simulation = new HealthSimulation(seed, true);
			for (int i = 0; i < STEPS; i++) {
				simulation.step();
				Set<String> unusedTargets = simulation.unusedTargets();
				assertThat(slots(simulation.targets(), unusedTargets))
					.as("seed %d, step %d, unused %s", seed, i, unusedTargets)
					.isLessThanOrEqualTo(Math.max(simulation.budget(), simulation.largestKnownBudget()));
			}
		}

		/**
		 * Guards against ejections that stay in force although they exceed the budget of
		 * a changed list.
		 */
		@Property(seed = "20261204", tries = 400)
		void leavesTheFloorOfTheListInUseOnceEveryProcessHasReadIt(@ForAll long seed) {
			HealthSimulation simulation = new HealthSimulation(seed, true);
			for (int i = 0; i < STEPS; i++) {
				simulation.step();
				if (simulation.millisSinceListChangeOrResume() > HealthSimulation.LIST_DELAY_MILLIS) {
					Set<String> unusedTargets = simulation.unusedTargets();
					assertThat(slots(simulation.targets(), unusedTargets))
						.as("seed %d, step %d, unused %s", seed, i, unusedTargets)
						.isLessThanOrEqualTo(simulation.budget());
				}
			}
		}

	}

	@Group
	class SimulationCoverage {

		/** Guards against properties that hold only because nothing is ejected. */
		@Example
		void targetsAreEjectedInMostSchedules() {
			int withEjections = 0;
			for (long seed = 0; seed < 40; seed++) {
				HealthSimulation simulation = new HealthSimulation(seed, seed % 2 == 0);
				boolean held = false;
				for (int i = 0; i < STEPS; i++) {
					simulation.step();
					held |= !simulation.held().isEmpty();
				}
				withEjections += held ? 1 : 0;
			}
			assertThat(withEjections).isGreaterThan(20);
		}

		/**
		 * Guards against properties that hold only because coordinators never restart or
		 * overlap.
		 */
		@Example
		void coordinatorsRestartAndOverlapInManySchedules() {
			int restarted = 0;
			int overlapped = 0;
			for (long seed = 0; seed < 40; seed++) {
				HealthSimulation simulation = new HealthSimulation(seed, seed % 2 == 0);
				for (int i = 0; i < STEPS; i++) {
					simulation.step();
				}
				restarted += (simulation.coordinatorRestarts() > 0) ? 1 : 0;
				overlapped += (simulation.overlappingCoordinatorSteps() > 0) ? 1 : 0;
			}
			assertThat(restarted).isGreaterThan(10);
			assertThat(overlapped).isGreaterThan(10);
		}

	}

	/**
	 * Guards against hosts that each stay above the floor but together leave less than
	 * the floor in use.
	 */
	@Group
	class ShorterTargetList {

		private static Set<String> unusedTargets(PeerMessage.Verdict... verdicts) {
			HealthView view = new HealthView(new ManualClock());
			view.apply(view.beginReport(HealthFixtures.SERVICE, "p0"),
					new PeerMessage.Verdicts(HealthFixtures.SERVICE, List.of(verdicts), 2500, false, List.of()));
			Set<String> unusedTargets = new HashSet<>();
			List<Target> targets = HealthFixtures.targets(7, 4);
			targets.forEach((target) -> unusedTargets.add(target.id()));
			CapacityFloor.usable(targets, view.service(HealthFixtures.SERVICE), HealthSimulation.FLOOR, 0)
				.forEach((usable) -> unusedTargets.remove(usable.target().id()));
			return unusedTargets;
		}

		private static PeerMessage.Verdict ejection(String id, int requiredBudget) {
			return new PeerMessage.Verdict(id, true, requiredBudget, 0.1, 0, 30, "");
		}

		@Example
		void endsTheSameEjectionsAtEachHostWhateverElseItHolds() {
			assertThat(unusedTargets(ejection("t0", 4), ejection("t1", 8), ejection("t2", 12))).containsOnly("t0",
					"t1");
			assertThat(unusedTargets(ejection("t1", 8), ejection("t2", 12))).containsOnly("t1");
			assertThat(unusedTargets(ejection("t2", 12))).isEmpty();
		}

	}

	@Group
	class OneHost {

		@Property(seed = "20261204", tries = 150)
		void usesAtLeastTheFloorWhateverItHolds(@ForAll long seed) {
			Random random = new Random(seed);
			List<Target> targets = HealthSimulation.randomTargets(random);
			double floor = random.nextInt(11) / 10.0;
			Map<String, HealthView.TargetHealth> held = new HashMap<>();
			for (int i = 0; i < 2 * targets.size(); i++) {
				held.put("t" + i, new HealthView.TargetHealth(random.nextInt(4) > 0, random.nextInt(9),
						random.nextDouble(), random.nextInt(9), random.nextDouble(), "", random.nextInt(200)));
			}
			List<CapacityFloor.Usable> usable = CapacityFloor.usable(targets,
					new HealthView.ServiceHealth("p0", 1, held, Map.of()), floor, 100);
			int slots = usable.stream().mapToInt((entry) -> entry.target().slots()).sum();
			assertThat(slots).isGreaterThanOrEqualTo(CapacityFloor.floorSlots(targets, floor)).isPositive();
			assertThat(usable).allMatch((entry) -> entry.weight() > 0 || !held.get(entry.target().id()).ejected());
		}

	}

}
