package org.plantainspur.core.schedule;

import java.util.List;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a host that serves with a configuration older than an accepted change,
 * and against hosts that stop serving although they are connected to a majority.
 */
class AcceptedChangesTests {

	private static final long START_MILLIS = 30_000;

	private static SimulatedFleet started(int size, long seed) {
		SimulatedFleet fleet = new SimulatedFleet(size, seed);
		fleet.run(START_MILLIS);
		return fleet;
	}

	private static void assertAllCurrent(SimulatedFleet fleet, List<SimulatedProcess> hosts) {
		assertThat(hosts).allSatisfy(
				(host) -> assertThat(host.isCurrent()).as("%s is current at %d", host.id(), fleet.now()).isTrue());
	}

	// The fleet checks after every event that no host serves with a configuration older
	// than an accepted change, so the property asserts nothing itself.
	@Group
	class Safety {

		@Property(seed = "20261204", tries = 1500)
		void noHostServesAConfigurationOlderThanAccepted(@ForAll @IntRange(min = 3, max = 7) int size,
				@ForAll long seed, @ForAll("schedules") List<Step> schedule) {
			SimulatedFleet fleet = started(size, seed);
			for (Step step : schedule) {
				step.apply(fleet);
				fleet.run(step.delayMillis());
			}
			fleet.run(8000);
			fleet.heal();
			fleet.healPlatform();
			fleet.resumeAll();
			fleet.run(10_000);
		}

		@Provide
		Arbitrary<List<Step>> schedules() {
			Arbitrary<Integer> index = Arbitraries.integers().between(0, 6);
			Arbitrary<Integer> delay = Arbitraries.frequencyOf(Tuple.of(3, Arbitraries.integers().between(0, 800)),
					Tuple.of(1, Arbitraries.integers().between(800, 7000)));
			Arbitrary<Action> action = Arbitraries.of(Action.values());
			return Combinators.combine(action, index, index, delay).as(Step::new).list().ofMinSize(5).ofMaxSize(40);
		}

	}

	@Group
	class Liveness {

		@Property(seed = "20261204", tries = 3)
		void connectedHostsServeForHoursWithoutThePlatform(@ForAll @IntRange(min = 3, max = 7) int size,
				@ForAll long seed) {
			SimulatedFleet fleet = started(size, seed);
			fleet.cutPlatformFromAll();
			for (int step = 0; step < 2 * 3600 * 4; step++) {
				fleet.run(250);
				assertAllCurrent(fleet, fleet.hosts());
			}
		}

		@Property(seed = "20261204", tries = 30)
		void othersServeIfHeartbeatsOfOneHostAreLost(@ForAll @IntRange(min = 3, max = 7) int size, @ForAll long seed,
				@ForAll boolean platformAvailable) {
			SimulatedFleet fleet = started(size, seed);
			if (!platformAvailable) {
				fleet.cutPlatformFromAll();
			}
			for (int other = 1; other < size; other++) {
				fleet.cut(0, other);
			}
			List<SimulatedProcess> others = fleet.hosts().stream().filter((host) -> !host.id().equals("h0")).toList();
			for (int step = 0; step < 240; step++) {
				fleet.run(250);
				assertAllCurrent(fleet, others);
			}
		}

		@Property(seed = "20261204", tries = 30)
		void newProcessServesWhileThePlatformIsUnavailable(@ForAll @IntRange(min = 3, max = 7) int size,
				@ForAll long seed) {
			SimulatedFleet fleet = started(size, seed);
			fleet.cutPlatformFromAll();
			fleet.run(10_000);
			// All processes but one are replaced in turn, so in the end a majority has
			// never read the platform.
			for (int index = 1; index < size; index++) {
				fleet.startProcess("h" + index);
				assertThat(fleet.host(index).isCurrent()).as("new process before it asked the others").isFalse();
				fleet.run(6000);
			}
			assertAllCurrent(fleet, fleet.hosts());
		}

		@Property(seed = "20261204", tries = 30)
		void changesAreAcceptedWithOneSilentHost(@ForAll @IntRange(min = 3, max = 7) int size, @ForAll long seed) {
			SimulatedFleet fleet = started(size, seed);
			fleet.isolate(0);
			fleet.cutPlatform(0);
			fleet.write();
			fleet.run(8000);
			assertThat(fleet.changesAccepted()).isEqualTo(1);
			assertThat(fleet.host(1).view().current().membership().member("h0")).as("silent member").isNull();
			fleet.heal();
			fleet.healPlatform();
			fleet.run(10_000);
			assertThat(fleet.host(1).view().current().membership().size()).as("members after rejoining")
				.isEqualTo(size);
		}

	}

	/**
	 * What happens in one step of a schedule. {@link #WRITE_AGAIN} does the same as
	 * {@link #WRITE} and makes writes twice as frequent as each other action.
	 */
	enum Action {

		WRITE, WRITE_AGAIN, CUT_ONE_WAY, ISOLATE, SPLIT, HEAL, CUT_PLATFORM, CUT_PLATFORM_FROM_ALL, HEAL_PLATFORM,
		PAUSE, RESUME, SLOW_READS, RESTART, LOSE_REPLY

	}

	/**
	 * One step of a schedule.
	 *
	 * @param action what happens
	 * @param first the index of the host that the action concerns, or the size of the
	 * first group for {@link Action#SPLIT}; unused by actions on the whole fleet
	 * @param second the index of the second host, for {@link Action#CUT_ONE_WAY} only
	 * @param delayMillis the simulated time between two steps, in milliseconds
	 */
	record Step(Action action, int first, int second, int delayMillis) {

		void apply(SimulatedFleet fleet) {
			switch (this.action) {
				case WRITE, WRITE_AGAIN -> fleet.write();
				case CUT_ONE_WAY -> fleet.cut(this.first, this.second);
				case ISOLATE -> fleet.isolate(this.first);
				case SPLIT -> fleet.split(this.first);
				case HEAL -> fleet.heal();
				case CUT_PLATFORM -> fleet.cutPlatform(this.first);
				case CUT_PLATFORM_FROM_ALL -> fleet.cutPlatformFromAll();
				case HEAL_PLATFORM -> fleet.healPlatform();
				case PAUSE -> fleet.pause(this.first);
				case RESUME -> fleet.resumeAll();
				case SLOW_READS -> fleet.slowReads(this.first);
				case RESTART -> fleet.startProcess(fleet.host(this.first).id());
				case LOSE_REPLY -> fleet.host(this.first).table().loseReplies(1);
			}
		}

	}

}
