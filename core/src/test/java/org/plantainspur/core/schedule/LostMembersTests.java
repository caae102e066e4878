package org.plantainspur.core.schedule;

import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.membership.Member;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a fleet that accepts no change after the loss of half or more of its
 * members, and against a host that serves with an outdated configuration after an
 * operator has removed the lost members.
 */
class LostMembersTests {

	private static void stopHosts(SimulatedFleet fleet, int count) {
		for (int index = 0; index < count; index++) {
			fleet.host(index).stop();
		}
	}

	private static void removeLost(SimulatedFleet fleet, String changeId) {
		List<Member> lost = fleet.hosts()
			.stream()
			.filter(SimulatedProcess::isStopped)
			.map(SimulatedProcess::member)
			.toList();
		fleet.table()
			.access(() -> fleet.canReachPlatform("operator"))
			.append(fleet.table().head(), changeId, new Change.MembersLost(lost));
	}

	@Group
	class Removal {

		@Property(seed = "20261204", tries = 60)
		void letsTheRestAcceptChangesAndAdmitHosts(@ForAll @IntRange(min = 3, max = 7) int size, @ForAll long seed) {
			SimulatedFleet fleet = new SimulatedFleet(size, seed);
			fleet.run(30_000);
			int lost = (size + 1) / 2;
			stopHosts(fleet, lost);
			fleet.write();
			fleet.run(10_000);
			assertThat(fleet.changesAccepted()).as("accepted without a majority").isZero();
			removeLost(fleet, "lost");
			fleet.run(1000);
			fleet.write();
			fleet.run(10_000);
			assertThat(fleet.changesAccepted()).as("accepted after the removal").isPositive();
			for (int index = 0; index < lost; index++) {
				fleet.startProcess("h" + index);
			}
			fleet.run(20_000);
			assertThat(fleet.hosts()).allSatisfy((host) -> {
				assertThat(host.isCurrent()).as("%s is current", host.id()).isTrue();
				assertThat(host.view().current().membership().size()).isEqualTo(size);
			});
		}

		@Property(seed = "20261204", tries = 600)
		void leavesNoHostServingAConfigurationOlderThanAccepted(@ForAll @IntRange(min = 3, max = 7) int size,
				@ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int lost,
				@ForAll("steps") List<AcceptedChangesTests.Step> before,
				@ForAll("steps") List<AcceptedChangesTests.Step> after) {
			SimulatedFleet fleet = new SimulatedFleet(size, seed);
			fleet.run(20_000);
			runSteps(fleet, before);
			stopHosts(fleet, Math.min(lost, size - 1));
			// Up to 4 s pass before the operator removes the lost members.
			fleet.run(seed & 4095);
			removeLost(fleet, "lost");
			fleet.write();
			runSteps(fleet, after);
			fleet.heal();
			fleet.healPlatform();
			fleet.resumeAll();
			fleet.run(10_000);
		}

		private void runSteps(SimulatedFleet fleet, List<AcceptedChangesTests.Step> steps) {
			for (AcceptedChangesTests.Step step : steps) {
				step.apply(fleet);
				fleet.run(step.delayMillis());
			}
		}

		@Provide
		Arbitrary<List<AcceptedChangesTests.Step>> steps() {
			Arbitrary<Integer> index = Arbitraries.integers().between(0, 6);
			return Combinators
				.combine(Arbitraries.of(AcceptedChangesTests.Action.values()), index, index,
						Arbitraries.integers().between(0, 2500))
				.as(AcceptedChangesTests.Step::new)
				.list()
				.ofMaxSize(12);
		}

	}

	/**
	 * Guards against a host that serves with an outdated configuration while the hosts of
	 * a new fleet join under faults.
	 */
	@Group
	class Joining {

		@Property(seed = "20261204", tries = 400)
		void underFaultsLeavesNoHostServingAConfigurationOlderThanAccepted(
				@ForAll @IntRange(min = 6, max = 12) int size, @ForAll long seed,
				@ForAll("steps") List<AcceptedChangesTests.Step> steps) {
			SimulatedFleet fleet = new SimulatedFleet(size, seed);
			for (AcceptedChangesTests.Step step : steps) {
				fleet.run(step.delayMillis());
				step.apply(fleet);
				fleet.write();
			}
			fleet.heal();
			fleet.healPlatform();
			fleet.resumeAll();
			fleet.run(30_000);
			assertThat(fleet.host(0).view().current().membership().size()).isEqualTo(size);
		}

		@Provide
		Arbitrary<List<AcceptedChangesTests.Step>> steps() {
			return new Removal().steps();
		}

	}

}
