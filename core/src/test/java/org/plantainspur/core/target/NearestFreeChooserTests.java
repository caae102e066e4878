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

import org.plantainspur.core.time.HandClock;

import static org.assertj.core.api.Assertions.assertThat;

class NearestFreeChooserTests {

	private final HandClock clock = new HandClock();

	private final TargetDirectory directory = new TargetDirectory(this.clock);

	private final TargetResults results = new TargetResults(this.clock);

	private final TargetShare share = new TargetShare();

	private final NearestFreeChooser chooser = new NearestFreeChooser(this.directory, this.results, this.share,
			new Place("pdx-a", Map.of("pdx-a", "pdx", "pdx-b", "pdx", "sea-a", "sea")), 0.7, this.clock, () -> 0.5);

	private static TargetEntry entry(String id, String domain, boolean leaving) {
		return new TargetEntry(id, "booking", "127.0.0.1", 80, domain, 4, leaving, 0);
	}

	private void list(TargetEntry... entries) {
		this.directory.replace(List.of(entries));
	}

	private String choose(String... tried) {
		Target target = this.chooser.choose("booking", (candidate) -> !Set.of(tried).contains(candidate.entry().id()),
				new TargetChooser.Work("route", false, 1_200));
		return (target != null) ? target.entry().id() : "none";
	}

	private void load(String id, int requests) {
		Target target = this.directory.target(id);
		assertThat(target).isNotNull();
		for (int i = 0; i < requests; i++) {
			this.results.sent(target);
		}
	}

	private void fail(String id) {
		Target target = this.directory.target(id);
		assertThat(target).isNotNull();
		this.results.sent(target);
		this.results.ended(target, "route", new AttemptOutcome.Broken("reset"), 10);
	}

	private void answer(String id, long tookMs) {
		Target target = NearestFreeChooserTests.this.directory.target(id);
		assertThat(target).isNotNull();
		NearestFreeChooserTests.this.results.sent(target);
		NearestFreeChooserTests.this.results.ended(target, "route", new AttemptOutcome.Answered(200, true), tookMs);
	}

	@Nested
	class Distance {

		@Test
		void workStaysInTheFailureDomainWhileItHasRoom() {
			list(entry("near", "pdx-a", false), entry("far", "pdx-b", false), entry("farther", "sea-a", false));
			load("near", 3);
			assertThat(choose()).isEqualTo("near");
		}

		@Test
		void workLeavesAFailureDomainThatIsFull() {
			list(entry("near", "pdx-a", false), entry("far", "pdx-b", false), entry("farther", "sea-a", false));
			load("near", 6);
			assertThat(choose()).isEqualTo("far");
		}

	}

	/**
	 * Hosts do not see what the others have just sent: short requests waited behind long
	 * ones of other hosts while a target of the failure domain was free.
	 */
	@Nested
	class Shares {

		@Test
		void theHostsOfAFailureDomainUseDifferentTargetsFirst() {
			list(entry("one", "pdx-a", false), entry("two", "pdx-a", false), entry("zero", "pdx-b", false));
			NearestFreeChooserTests.this.share.set(0, 2);
			assertThat(choose()).isEqualTo("one");
			NearestFreeChooserTests.this.share.set(1, 2);
			assertThat(choose()).isEqualTo("two");
		}

		@Test
		void aTargetOfAnotherHostIsUsedBeforeOneOfAnotherFailureDomain() {
			list(entry("one", "pdx-a", false), entry("two", "pdx-a", false), entry("zero", "pdx-b", false));
			NearestFreeChooserTests.this.share.set(0, 2);
			load("one", 4);
			assertThat(choose()).isEqualTo("two");
		}

		/**
		 * Three hosts with a third of the requests each, on nine targets with two slots:
		 * how many requests find both slots taken, with shares and without.
		 */
		@Test
		void fewerRequestsWaitBehindThoseOfOtherHosts() {
			assertThat(waiting(true)).isLessThan(waiting(false) / 2);
		}

		private int waiting(boolean shares) {
			Random random = new Random(7);
			HandClock hand = new HandClock();
			List<TargetEntry> entries = new ArrayList<>();
			for (int i = 0; i < 9; i++) {
				entries.add(new TargetEntry("t" + i, "s", "127.0.0.1", 80, "pdx-a", 2, false, 0));
			}
			List<TargetDirectory> directories = new ArrayList<>();
			List<TargetResults> allResults = new ArrayList<>();
			List<NearestFreeChooser> choosers = new ArrayList<>();
			for (int host = 0; host < 3; host++) {
				TargetDirectory targets = new TargetDirectory(hand);
				targets.replace(entries);
				TargetResults known = new TargetResults(hand);
				TargetShare part = new TargetShare();
				part.set(shares ? host : -1, 3);
				directories.add(targets);
				allResults.add(known);
				choosers.add(new NearestFreeChooser(targets, known, part, new Place("pdx-a", Map.of()), 0.7, hand,
						random::nextDouble));
			}
			int waited = 0;
			PriorityQueue<long[]> ends = new PriorityQueue<>(Comparator.comparingLong((end) -> end[0]));
			int[] running = new int[9];
			for (int request = 0; request < 3_000; request++) {
				hand.advance(random.nextInt(60));
				while (!ends.isEmpty() && ends.peek()[0] <= hand.millis()) {
					long[] end = ends.poll();
					running[(int) end[2]]--;
					Target target = directories.get((int) end[1]).target("t" + end[2]);
					allResults.get((int) end[1]).ended(target, "route", new AttemptOutcome.Answered(200, true), end[3]);
				}
				int host = random.nextInt(3);
				Target chosen = choosers.get(host)
					.choose("s", (target) -> true, new TargetChooser.Work("route", false, 0));
				int number = Integer.parseInt(chosen.entry().id().substring(1));
				waited += (running[number] >= 2) ? 1 : 0;
				running[number]++;
				allResults.get(host).sent(chosen);
				long took = random.nextBoolean() ? 110 : 300;
				ends.add(new long[] { hand.millis() + took, host, number, took });
			}
			return waited;
		}

	}

	/**
	 * Bytes between failure domains are billed: a target that failed once is mostly well
	 * again soon, and a large answer from another failure domain costs more than the
	 * doubt.
	 */
	@Nested
	class Bytes {

		private void doubtNear() {
			list(entry("near", "pdx-a", false), entry("far", "pdx-b", false));
			for (int i = 0; i < 5; i++) {
				answer("near", 100);
				answer("far", 100);
			}
			fail("near");
			NearestFreeChooserTests.this.clock.advance(1_500);
		}

		@Test
		void aSmallAnswerIsFetchedFromAnotherFailureDomain() {
			doubtNear();
			NearestFreeChooserTests.this.results.answerSize("route", 400);
			assertThat(choose()).isEqualTo("far");
		}

		@Test
		void aLargeAnswerStaysInTheFailureDomain() {
			doubtNear();
			NearestFreeChooserTests.this.results.answerSize("route", 16_000);
			assertThat(choose()).isEqualTo("near");
		}

	}

	/**
	 * A route with little time, whose work often takes longer, made its healthy targets
	 * count as sick for the other routes.
	 */
	@Nested
	class RequestsOutOfTime {

		private void end(AttemptOutcome outcome, long tookMs) {
			Target target = NearestFreeChooserTests.this.directory.target("near");
			assertThat(target).isNotNull();
			NearestFreeChooserTests.this.results.sent(target);
			NearestFreeChooserTests.this.results.ended(target, "route", outcome, tookMs);
		}

		@Test
		void aTargetIsNotSparedForWorkThatHadLessThanItsUsualTime() {
			list(entry("near", "pdx-a", false), entry("far", "pdx-b", false));
			end(new AttemptOutcome.TimedOut(), 400);
			end(new AttemptOutcome.Answered(504, false), 400);
			assertThat(choose()).isEqualTo("near");
			answer("near", 500);
			end(new AttemptOutcome.TimedOut(), 900);
			assertThat(choose()).isEqualTo("near");
		}

		@Test
		void aTargetThatHoldsRequestsForManyTimesTheUsualIsSpared() {
			list(entry("near", "pdx-a", false), entry("far", "pdx-b", false));
			answer("near", 100);
			end(new AttemptOutcome.TimedOut(), 2_500);
			assertThat(choose()).isEqualTo("far");
		}

	}

	@Nested
	class Failures {

		@Test
		void aTargetThatFailedOnceIsSparedForSecondsWhileOthersHaveRoom() {
			list(entry("sick", "pdx-a", false), entry("well", "pdx-b", false), entry("farther", "sea-a", false));
			fail("sick");
			assertThat(choose()).isEqualTo("well");
			NearestFreeChooserTests.this.clock.advance(5_000);
			assertThat(choose()).isEqualTo("well");
		}

		@Test
		void aTargetThatFailedGetsWorkWhenTheOthersAreFull() {
			list(entry("sick", "pdx-a", false), entry("well", "pdx-a", false));
			fail("sick");
			load("well", 12);
			assertThat(choose()).isEqualTo("sick");
		}

		@Test
		void aTargetThatAnswersWellIsUsedAgain() {
			list(entry("sick", "pdx-a", false), entry("well", "pdx-b", false));
			fail("sick");
			NearestFreeChooserTests.this.clock.advance(1_000);
			for (int i = 0; i < 3; i++) {
				answer("sick", 100);
			}
			assertThat(choose()).isEqualTo("sick");
		}

		@Test
		void doubtfulTargetsDoNotGetSeveralRequestsTogether() {
			list(entry("one", "pdx-a", false), entry("two", "pdx-a", false));
			fail("one");
			fail("two");
			String first = choose();
			load(first, 1);
			assertThat(choose()).isNotEqualTo(first);
		}

		@Test
		void aServiceThatFailsManyRequestsKeepsItsFloorInUse() {
			List<TargetEntry> all = new ArrayList<>();
			for (int i = 0; i < 10; i++) {
				all.add(entry("t" + i, "pdx-a", false));
			}
			NearestFreeChooserTests.this.directory.replace(all);
			for (int i = 0; i < 10; i++) {
				for (int repeat = 0; repeat < 3 && i < 5; repeat++) {
					fail("t" + i);
				}
				NearestFreeChooserTests.this.clock.advance(200);
			}
			Set<String> used = new HashSet<>();
			for (int i = 0; i < 40; i++) {
				String chosen = choose();
				used.add(chosen);
				load(chosen, 1);
			}
			assertThat(used).hasSizeGreaterThanOrEqualTo(7);
		}

		/**
		 * The floor was kept only when the targets that answered well were full: with
		 * room there, all others were left without requests for seconds.
		 */
		@Test
		void theFloorIsInUseInEachTwoSecondsThoughTheWellTargetsHaveRoom() {
			List<TargetEntry> all = new ArrayList<>();
			for (int i = 0; i < 10; i++) {
				all.add(entry("t" + i, "pdx-a", false));
			}
			NearestFreeChooserTests.this.directory.replace(all);
			Deque<Set<String>> windows = new ArrayDeque<>();
			for (int request = 0; request < 400; request++) {
				if (request % 40 == 0) {
					windows.add(new HashSet<>());
				}
				String chosen = choose();
				windows.getLast().add(chosen);
				if (chosen.equals("t0") || chosen.equals("t1") || chosen.equals("t2") || request % 8 == 0) {
					fail(chosen);
				}
				else {
					answer(chosen, 100);
				}
				NearestFreeChooserTests.this.clock.advance(50);
			}
			windows.removeFirst();
			assertThat(windows).allSatisfy((used) -> assertThat(used).hasSizeGreaterThanOrEqualTo(7));
		}

		@Test
		void aTargetWhoseAddressAnotherOneHasIsLeftAlone() {
			list(entry("gone", "pdx-a", false), entry("well", "sea-a", false));
			Target gone = NearestFreeChooserTests.this.directory.target("gone");
			assertThat(gone).isNotNull();
			NearestFreeChooserTests.this.results.sent(gone);
			NearestFreeChooserTests.this.results.ended(gone, "route", new AttemptOutcome.Declined(421, true), 5);
			NearestFreeChooserTests.this.clock.advance(5_000);
			assertThat(choose()).isEqualTo("well");
		}

	}

	@Nested
	class Trials {

		/**
		 * Three of nine sound targets got nothing for two seconds while requests were
		 * waiting for answers that never came, which no host could know yet.
		 */
		@Test
		void idempotentRequestsVisitAllTargetsWithinTwoSeconds() {
			List<TargetEntry> all = new ArrayList<>();
			for (int i = 0; i < 8; i++) {
				all.add(entry("t" + i, "pdx-a", false));
			}
			NearestFreeChooserTests.this.directory.replace(all);
			NearestFreeChooserTests.this.share.set(0, 1);
			Deque<Set<String>> windows = new ArrayDeque<>();
			for (int request = 0; request < 200; request++) {
				if (request % 20 == 0) {
					windows.add(new HashSet<>());
				}
				Target chosen = NearestFreeChooserTests.this.chooser.choose("booking", (target) -> true,
						new TargetChooser.Work("route", true, 0));
				assertThat(chosen).isNotNull();
				windows.getLast().add(chosen.entry().id());
				if (chosen.entry().id().equals("t0")) {
					fail("t0");
				}
				else {
					answer(chosen.entry().id(), 100);
				}
				NearestFreeChooserTests.this.clock.advance(100);
			}
			assertThat(windows).allSatisfy((used) -> assertThat(used).hasSize(8));
		}

		@Test
		void idempotentRequestsTryATargetOfWhichLittleIsKnown() {
			list(entry("sick", "pdx-a", false), entry("well", "pdx-a", false));
			fail("sick");
			NearestFreeChooserTests.this.clock.advance(8_000);
			answer("well", 100);
			answer("well", 100);
			assertThat(choose()).as("cannot be repeated").isEqualTo("well");
			Target tried = NearestFreeChooserTests.this.chooser.choose("booking", (target) -> true,
					new TargetChooser.Work("route", true, 0));
			assertThat(tried).isNotNull();
			assertThat(tried.entry().id()).isEqualTo("sick");
		}

		@Test
		void onlyOneOfThemAtATime() {
			list(entry("sick", "pdx-a", false), entry("well", "pdx-a", false));
			fail("sick");
			NearestFreeChooserTests.this.clock.advance(8_000);
			answer("well", 100);
			load("sick", 1);
			Target tried = NearestFreeChooserTests.this.chooser.choose("booking", (target) -> true,
					new TargetChooser.Work("route", true, 0));
			assertThat(tried).isNotNull();
			assertThat(tried.entry().id()).isEqualTo("well");
		}

	}

	@Nested
	class Listing {

		@Test
		void aLeavingTargetGetsNoWork() {
			list(entry("leaving", "pdx-a", true), entry("staying", "sea-a", false));
			assertThat(choose()).isEqualTo("staying");
		}

		@Test
		void aRequestIsNotSentToTheSameTargetTwice() {
			list(entry("one", "pdx-a", false));
			assertThat(choose("one")).isEqualTo("none");
		}

		@Test
		void whatIsKnownOfATargetOutlivesAnUpdateOfTheList() {
			list(entry("one", "pdx-a", false), entry("two", "pdx-a", false));
			load("one", 2);
			list(entry("one", "pdx-a", false), entry("two", "pdx-a", false), entry("three", "sea-a", false));
			assertThat(choose()).isEqualTo("two");
		}

	}

	@Nested
	class Slowness {

		@Test
		void aTargetThatTakesFiveTimesAsLongGetsLess() {
			list(entry("slow", "pdx-a", false), entry("usual", "pdx-a", false));
			for (int i = 0; i < 20; i++) {
				answer("usual", 100);
			}
			for (int i = 0; i < 4; i++) {
				answer("slow", 500);
			}
			load("usual", 1);
			assertThat(choose()).isEqualTo("usual");
		}

	}

}
