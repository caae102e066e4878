package org.plantainspur.core.target;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.reach.PathChooser;
import org.plantainspur.core.time.ManualClock;

import static org.assertj.core.api.Assertions.assertThat;

class LowestCostSelectorTests {

	private final ManualClock clock = new ManualClock();

	private final TargetRegistry registry = new TargetRegistry(this.clock);

	private final AttemptRecorder recorder = new AttemptRecorder(this.clock);

	private final TargetSubset subset = new TargetSubset();

	private final LowestCostSelector selector = new LowestCostSelector(this.registry, this.recorder, this.subset,
			new HostLocation("pdx-a", Map.of("pdx-a", "pdx", "pdx-b", "pdx", "sea-a", "sea")), TargetPermits.ALL,
			PathChooser.DIRECT, 0.7, this.clock, () -> 0.5);

	private static TargetListing listing(String id, String domain, boolean leaving) {
		return new TargetListing(id, "booking", "127.0.0.1", 80, domain, 4, leaving, 0, 0);
	}

	private void setTargets(TargetListing... listings) {
		this.registry.replace(List.of(listings));
	}

	private String select(String... ineligibleIds) {
		TargetSelector.Selection selection = this.selector.select("booking",
				(candidate) -> !Set.of(ineligibleIds).contains(candidate.listing().id()),
				new TargetSelector.AttemptProfile("route", false, 1_200, PathChooser.OpenConnections.NONE));
		return (selection != null) ? selection.target().listing().id() : "none";
	}

	private void addInFlight(String id, int requests) {
		ObservedTarget target = this.registry.target(id);
		assertThat(target).isNotNull();
		for (int i = 0; i < requests; i++) {
			this.recorder.recordSent(target);
		}
	}

	private void recordFailure(String id) {
		ObservedTarget target = this.registry.target(id);
		assertThat(target).isNotNull();
		this.recorder.recordSent(target);
		this.recorder.recordOutcome(target, "route", new AttemptOutcome.Broken("reset"), 10);
	}

	private void recordSuccess(String id, long tookMs) {
		ObservedTarget target = LowestCostSelectorTests.this.registry.target(id);
		assertThat(target).isNotNull();
		LowestCostSelectorTests.this.recorder.recordSent(target);
		LowestCostSelectorTests.this.recorder.recordOutcome(target, "route", new AttemptOutcome.Answered(200, true),
				tookMs);
	}

	/**
	 * Guards against requests that leave the failure domain, where bytes are billed,
	 * while its targets have free slots, and against requests that queue there while
	 * other targets are free.
	 */
	@Nested
	class Distance {

		@Test
		void aTargetOfTheOwnFailureDomainIsSelectedWhileItHasFreeSlots() {
			setTargets(listing("near", "pdx-a", false), listing("far", "pdx-b", false),
					listing("farther", "sea-a", false));
			addInFlight("near", 3);
			assertThat(select()).isEqualTo("near");
		}

		@Test
		void aTargetOfAnotherFailureDomainIsSelectedWhenTheOwnOneIsFull() {
			setTargets(listing("near", "pdx-a", false), listing("far", "pdx-b", false),
					listing("farther", "sea-a", false));
			addInFlight("near", 6);
			assertThat(select()).isEqualTo("far");
		}

	}

	/**
	 * Guards against short requests that wait behind long ones of other hosts while a
	 * target of the failure domain is free: a host does not see the requests that other
	 * hosts have just sent.
	 */
	@Nested
	class Subsets {

		@Test
		void hostsOfAFailureDomainPreferDifferentTargets() {
			setTargets(listing("one", "pdx-a", false), listing("two", "pdx-a", false), listing("zero", "pdx-b", false));
			LowestCostSelectorTests.this.subset.assign(0, 2);
			assertThat(select()).isEqualTo("one");
			LowestCostSelectorTests.this.subset.assign(1, 2);
			assertThat(select()).isEqualTo("two");
		}

		@Test
		void aTargetOfAnotherHostsSubsetIsPreferredToAnotherFailureDomain() {
			setTargets(listing("one", "pdx-a", false), listing("two", "pdx-a", false), listing("zero", "pdx-b", false));
			LowestCostSelectorTests.this.subset.assign(0, 2);
			addInFlight("one", 4);
			assertThat(select()).isEqualTo("two");
		}

		/**
		 * Simulates three hosts, with a third of the requests each, on nine targets with
		 * two slots, and compares how many requests find both slots in use with subsets
		 * and without.
		 */
		@Test
		void subsetsHalveTheRequestsQueuedBehindOtherHosts() {
			assertThat(countQueuedRequests(true)).isLessThan(countQueuedRequests(false) / 2);
		}

		private int countQueuedRequests(boolean useSubsets) {
			Random random = new Random(7);
			ManualClock simulationClock = new ManualClock();
			List<TargetListing> listings = new ArrayList<>();
			for (int i = 0; i < 9; i++) {
				listings.add(new TargetListing("t" + i, "s", "127.0.0.1", 80, "pdx-a", 2, false, 0, 0));
			}
			List<TargetRegistry> registries = new ArrayList<>();
			List<AttemptRecorder> recorders = new ArrayList<>();
			List<LowestCostSelector> selectors = new ArrayList<>();
			for (int host = 0; host < 3; host++) {
				TargetRegistry registry = new TargetRegistry(simulationClock);
				registry.replace(listings);
				AttemptRecorder recorder = new AttemptRecorder(simulationClock);
				TargetSubset subset = new TargetSubset();
				subset.assign(useSubsets ? host : -1, 3);
				registries.add(registry);
				recorders.add(recorder);
				selectors.add(new LowestCostSelector(registry, recorder, subset, new HostLocation("pdx-a", Map.of()),
						TargetPermits.ALL, PathChooser.DIRECT, 0.7, simulationClock, random::nextDouble));
			}
			int queued = 0;
			PriorityQueue<long[]> completions = new PriorityQueue<>(
					Comparator.comparingLong((completion) -> completion[0]));
			int[] running = new int[9];
			for (int request = 0; request < 3_000; request++) {
				simulationClock.advance(random.nextInt(60));
				while (!completions.isEmpty() && completions.peek()[0] <= simulationClock.millis()) {
					long[] completion = completions.poll();
					running[(int) completion[2]]--;
					ObservedTarget target = registries.get((int) completion[1]).target("t" + completion[2]);
					recorders.get((int) completion[1])
						.recordOutcome(target, "route", new AttemptOutcome.Answered(200, true), completion[3]);
				}
				int host = random.nextInt(3);
				ObservedTarget selected = selectors.get(host)
					.select("s", (target) -> true,
							new TargetSelector.AttemptProfile("route", false, 0, PathChooser.OpenConnections.NONE))
					.target();
				int targetNumber = Integer.parseInt(selected.listing().id().substring(1));
				queued += (running[targetNumber] >= 2) ? 1 : 0;
				running[targetNumber]++;
				recorders.get(host).recordSent(selected);
				long durationMs = random.nextBoolean() ? 110 : 300;
				completions.add(new long[] { simulationClock.millis() + durationMs, host, targetNumber, durationMs });
			}
			return queued;
		}

	}

	/**
	 * Guards against large responses that are fetched from another failure domain, where
	 * bytes are billed, only because a target failed once: it is usually healthy again
	 * soon, and the bytes cost more than the risk of another failure.
	 */
	@Nested
	class BilledBytes {

		private void recordFailureOfNearTarget() {
			setTargets(listing("near", "pdx-a", false), listing("far", "pdx-b", false));
			for (int i = 0; i < 5; i++) {
				recordSuccess("near", 100);
				recordSuccess("far", 100);
			}
			recordFailure("near");
			LowestCostSelectorTests.this.clock.advance(1_500);
		}

		@Test
		void aRouteWithSmallResponsesAvoidsTheFailedTarget() {
			recordFailureOfNearTarget();
			LowestCostSelectorTests.this.recorder.recordResponseBytes("route", 400);
			assertThat(select()).isEqualTo("far");
		}

		@Test
		void aRouteWithLargeResponsesStaysInTheFailureDomain() {
			recordFailureOfNearTarget();
			LowestCostSelectorTests.this.recorder.recordResponseBytes("route", 16_000);
			assertThat(select()).isEqualTo("near");
		}

	}

	/**
	 * Guards against healthy targets that count as unhealthy for all routes because one
	 * route has a short timeout which its work often exceeds.
	 */
	@Nested
	class TimedOutRequests {

		private void recordOutcome(AttemptOutcome outcome, long tookMs) {
			ObservedTarget target = LowestCostSelectorTests.this.registry.target("near");
			assertThat(target).isNotNull();
			LowestCostSelectorTests.this.recorder.recordSent(target);
			LowestCostSelectorTests.this.recorder.recordOutcome(target, "route", outcome, tookMs);
		}

		@Test
		void aTimeoutWithinTheTypicalDurationIsNotCountedAgainstTheTarget() {
			setTargets(listing("near", "pdx-a", false), listing("far", "pdx-b", false));
			recordOutcome(new AttemptOutcome.TimedOut(), 400);
			recordOutcome(new AttemptOutcome.Answered(504, false), 400);
			assertThat(select()).isEqualTo("near");
			recordSuccess("near", 500);
			recordOutcome(new AttemptOutcome.TimedOut(), 900);
			assertThat(select()).isEqualTo("near");
		}

		@Test
		void aTimeoutFarBeyondTheTypicalDurationCountsAgainstTheTarget() {
			setTargets(listing("near", "pdx-a", false), listing("far", "pdx-b", false));
			recordSuccess("near", 100);
			recordOutcome(new AttemptOutcome.TimedOut(), 2_500);
			assertThat(select()).isEqualTo("far");
		}

	}

	/**
	 * Guards against requests to targets that have just failed, and against avoiding such
	 * targets even when the others are full or the service must keep its floor in use.
	 */
	@Nested
	class Failures {

		@Test
		void aFailedTargetIsAvoidedForSecondsWhileOthersHaveFreeSlots() {
			setTargets(listing("failed", "pdx-a", false), listing("healthy", "pdx-b", false),
					listing("farther", "sea-a", false));
			recordFailure("failed");
			assertThat(select()).isEqualTo("healthy");
			LowestCostSelectorTests.this.clock.advance(5_000);
			assertThat(select()).isEqualTo("healthy");
		}

		@Test
		void aFailedTargetIsSelectedWhenTheOthersAreFull() {
			setTargets(listing("failed", "pdx-a", false), listing("healthy", "pdx-a", false));
			recordFailure("failed");
			addInFlight("healthy", 12);
			assertThat(select()).isEqualTo("failed");
		}

		@Test
		void aFailedTargetIsSelectedAgainAfterSuccesses() {
			setTargets(listing("failed", "pdx-a", false), listing("healthy", "pdx-b", false));
			recordFailure("failed");
			LowestCostSelectorTests.this.clock.advance(1_000);
			for (int i = 0; i < 3; i++) {
				recordSuccess("failed", 100);
			}
			assertThat(select()).isEqualTo("failed");
		}

		@Test
		void likelyUnhealthyTargetsDoNotGetConcurrentRequests() {
			setTargets(listing("one", "pdx-a", false), listing("two", "pdx-a", false));
			recordFailure("one");
			recordFailure("two");
			String first = select();
			addInFlight(first, 1);
			assertThat(select()).isNotEqualTo(first);
		}

		@Test
		void aServiceWithManyFailuresKeepsItsFloorOfTargetsInUse() {
			List<TargetListing> all = new ArrayList<>();
			for (int i = 0; i < 10; i++) {
				all.add(listing("t" + i, "pdx-a", false));
			}
			LowestCostSelectorTests.this.registry.replace(all);
			for (int i = 0; i < 10; i++) {
				for (int repeat = 0; repeat < 3 && i < 5; repeat++) {
					recordFailure("t" + i);
				}
				LowestCostSelectorTests.this.clock.advance(200);
			}
			Set<String> selectedIds = new HashSet<>();
			for (int i = 0; i < 40; i++) {
				String selected = select();
				selectedIds.add(selected);
				addInFlight(selected, 1);
			}
			assertThat(selectedIds).hasSizeGreaterThanOrEqualTo(7);
		}

		/**
		 * Guards against a floor that is kept only when the healthy targets are full:
		 * while they have free slots, all other targets would get no requests for
		 * seconds.
		 */
		@Test
		void theFloorIsUsedInEveryTwoSecondsEvenIfHealthyTargetsHaveFreeSlots() {
			List<TargetListing> all = new ArrayList<>();
			for (int i = 0; i < 10; i++) {
				all.add(listing("t" + i, "pdx-a", false));
			}
			LowestCostSelectorTests.this.registry.replace(all);
			Deque<Set<String>> windows = new ArrayDeque<>();
			for (int request = 0; request < 400; request++) {
				if (request % 40 == 0) {
					windows.add(new HashSet<>());
				}
				String selected = select();
				windows.getLast().add(selected);
				if (selected.equals("t0") || selected.equals("t1") || selected.equals("t2") || request % 8 == 0) {
					recordFailure(selected);
				}
				else {
					recordSuccess(selected, 100);
				}
				LowestCostSelectorTests.this.clock.advance(50);
			}
			windows.removeFirst();
			assertThat(windows).allSatisfy((selectedIds) -> assertThat(selectedIds).hasSizeGreaterThanOrEqualTo(7));
		}

		@Test
		void aTargetWhoseAddressAnsweredAsAnotherTargetIsNotSelected() {
			setTargets(listing("gone", "pdx-a", false), listing("healthy", "sea-a", false));
			ObservedTarget misdirected = LowestCostSelectorTests.this.registry.target("gone");
			assertThat(misdirected).isNotNull();
			LowestCostSelectorTests.this.recorder.recordSent(misdirected);
			LowestCostSelectorTests.this.recorder.recordOutcome(misdirected, "route",
					new AttemptOutcome.Declined(421, true), 5);
			LowestCostSelectorTests.this.clock.advance(5_000);
			assertThat(select()).isEqualTo("healthy");
		}

	}

	/**
	 * Guards against unhealthy targets that never count as healthy again because no
	 * request shows that they have recovered.
	 */
	@Nested
	class Probes {

		/**
		 * Guards against healthy targets without requests before a host can know that the
		 * floor is required: three of nine got none for two seconds while the requests on
		 * the others waited for responses that never came.
		 */
		@Test
		void idempotentRequestsProbeAllTargetsWithinTwoSeconds() {
			List<TargetListing> all = new ArrayList<>();
			for (int i = 0; i < 8; i++) {
				all.add(listing("t" + i, "pdx-a", false));
			}
			LowestCostSelectorTests.this.registry.replace(all);
			LowestCostSelectorTests.this.subset.assign(0, 1);
			Deque<Set<String>> windows = new ArrayDeque<>();
			for (int request = 0; request < 200; request++) {
				if (request % 20 == 0) {
					windows.add(new HashSet<>());
				}
				ObservedTarget selected = LowestCostSelectorTests.this.selector
					.select("booking", (target) -> true,
							new TargetSelector.AttemptProfile("route", true, 0, PathChooser.OpenConnections.NONE))
					.target();
				assertThat(selected).isNotNull();
				windows.getLast().add(selected.listing().id());
				if (selected.listing().id().equals("t0")) {
					recordFailure("t0");
				}
				else {
					recordSuccess(selected.listing().id(), 100);
				}
				LowestCostSelectorTests.this.clock.advance(100);
			}
			assertThat(windows).allSatisfy((selectedIds) -> assertThat(selectedIds).hasSize(8));
		}

		@Test
		void anIdempotentRequestProbesATargetWithAStaleEstimate() {
			setTargets(listing("failed", "pdx-a", false), listing("healthy", "pdx-a", false));
			recordFailure("failed");
			LowestCostSelectorTests.this.clock.advance(8_000);
			recordSuccess("healthy", 100);
			recordSuccess("healthy", 100);
			assertThat(select()).as("not retryable").isEqualTo("healthy");
			ObservedTarget probed = LowestCostSelectorTests.this.selector
				.select("booking", (target) -> true,
						new TargetSelector.AttemptProfile("route", true, 0, PathChooser.OpenConnections.NONE))
				.target();
			assertThat(probed).isNotNull();
			assertThat(probed.listing().id()).isEqualTo("failed");
		}

		@Test
		void aTargetGetsOnlyOneProbeAtATime() {
			setTargets(listing("failed", "pdx-a", false), listing("healthy", "pdx-a", false));
			recordFailure("failed");
			LowestCostSelectorTests.this.clock.advance(8_000);
			recordSuccess("healthy", 100);
			addInFlight("failed", 1);
			ObservedTarget probed = LowestCostSelectorTests.this.selector
				.select("booking", (target) -> true,
						new TargetSelector.AttemptProfile("route", true, 0, PathChooser.OpenConnections.NONE))
				.target();
			assertThat(probed).isNotNull();
			assertThat(probed.listing().id()).isEqualTo("healthy");
		}

	}

	/**
	 * Guards against requests to targets that are leaving or not eligible, and against
	 * losing what was observed of a target when the list is read again.
	 */
	@Nested
	class ListUpdates {

		@Test
		void aLeavingTargetIsNotSelected() {
			setTargets(listing("leaving", "pdx-a", true), listing("staying", "sea-a", false));
			assertThat(select()).isEqualTo("staying");
		}

		@Test
		void anIneligibleTargetIsNotSelected() {
			setTargets(listing("one", "pdx-a", false));
			assertThat(select("one")).isEqualTo("none");
		}

		@Test
		void stateOfATargetSurvivesAnUpdateOfTheList() {
			setTargets(listing("one", "pdx-a", false), listing("two", "pdx-a", false));
			addInFlight("one", 2);
			setTargets(listing("one", "pdx-a", false), listing("two", "pdx-a", false),
					listing("three", "sea-a", false));
			assertThat(select()).isEqualTo("two");
		}

	}

	/**
	 * Guards against requests to a target that is healthy but much slower than the
	 * others.
	 */
	@Nested
	class Slowness {

		@Test
		void aTargetFiveTimesSlowerIsPassedOverForABusierOne() {
			setTargets(listing("slow", "pdx-a", false), listing("usual", "pdx-a", false));
			for (int i = 0; i < 20; i++) {
				recordSuccess("usual", 100);
			}
			for (int i = 0; i < 4; i++) {
				recordSuccess("slow", 500);
			}
			addInFlight("usual", 1);
			assertThat(select()).isEqualTo("usual");
		}

	}

}
