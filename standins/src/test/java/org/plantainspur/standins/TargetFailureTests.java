package org.plantainspur.standins;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against faulty or draining targets that still receive requests, and against an
 * account that gets more than its rate over all hosts.
 */
@Timeout(120)
@ExtendWith(SharedFleetExtension.class)
class TargetFailureTests {

	private static final String FAIL_HALF_OF_REQUESTS = "\"gray\": [{\"kind\": \"fail\", \"fraction\": 0.5, \"status\": 500, \"account\": null}]";

	private static boolean isEjectedAtEveryHost(TestFleet fleet, String targetId) throws Exception {
		for (String host : fleet.hostIds()) {
			if (!fleet.ejected(host).contains(targetId)) {
				return false;
			}
		}
		return true;
	}

	@Nested
	class GrayTarget {

		@Test
		void isEjectedAtEveryHostWithinFiveSeconds(TestFleet fleet) throws Exception {
			try (TestCaller caller = new TestCaller(fleet.callerAddresses(), 8, 10)) {
				// Outlier detection compares the target with other targets of the
				// service, so all of them need traffic first.
				Thread.sleep(4000);
				fleet.setBehaviour("booking-2", FAIL_HALF_OF_REQUESTS);
				TestFleet.await("booking-2 is ejected at every host", 5000,
						() -> isEjectedAtEveryHost(fleet, "booking-2"));
			}
		}

	}

	@Nested
	class KilledCoordinator {

		private static final Set<String> ONE_FAULTY_TARGET = Set.of("booking-4");

		private static final Set<String> TWO_FAULTY_TARGETS = Set.of("booking-4", "booking-5");

		/**
		 * Time within which the verdicts of the killed coordinator must have expired at
		 * the other hosts: the verdict lifetime of 2.5 s and 1 s for the requests of this
		 * test.
		 */
		private static final long EXPIRY_DEADLINE_MILLIS = 2500 + 1000;

		/**
		 * Time until the other hosts apply the removal of a killed host: 3 s until it
		 * counts as silent, two heartbeats, a membership check and a poll.
		 */
		private static final long REMOVAL_DEADLINE_MILLIS = 3000 + 2 * 500 + 250 + 500;

		/**
		 * Time that a new coordinator waits before it ejects: the fencing timeout of 3 s
		 * and the verdict lifetime of 2.5 s, lengthened by 2% and 50 ms for clock drift.
		 */
		private static final long HANDOVER_MILLIS = 5660;

		/**
		 * Time within which a new verdict must be known at every host: the interval of
		 * health reports, whose responses carry it, and 1 s for the requests of this
		 * test.
		 */
		private static final long REPORT_DEADLINE_MILLIS = 500 + 1000;

		@Test
		void leavesTheTargetToItsSuccessorWhichEjectsItAgainInTime(TestFleet fleet) throws Exception {
			try (TestCaller caller = new TestCaller(fleet.callerAddresses(), 8, 10)) {
				List<String> survivors = ejectTargetAndKillCoordinator(fleet);
				long killedNanos = System.nanoTime();
				awaitEjections(fleet, survivors, ONE_FAULTY_TARGET, "the verdict has expired", EXPIRY_DEADLINE_MILLIS,
						Set::isEmpty);
				double requestFraction = requestFraction(fleet);
				awaitEjections(fleet, survivors, ONE_FAULTY_TARGET, "booking-4 is ejected again",
						REMOVAL_DEADLINE_MILLIS + HANDOVER_MILLIS + REPORT_DEADLINE_MILLIS - millisSince(killedNanos),
						ONE_FAULTY_TARGET::equals);
				System.out.println("coordinator killed: booking-4 had " + requestFraction
						+ " of the requests after its verdict expired and was ejected again after "
						+ millisSince(killedNanos) + " ms");
				assertThat(survivors).contains(fleet.coordinator());
				assertThat(requestFraction(fleet)).as("fraction of the requests that booking-4 received")
					.isLessThan(0.05);
				assertThat(caller.endedSince(killedNanos)).isNotEmpty();
			}
		}

		// Either target may have the higher failure rate by then, so the test accepts the
		// ejection of either.
		@Test
		void doesNotLetItsSuccessorEjectBothOfTwoFaultyTargets(TestFleet fleet) throws Exception {
			try (TestCaller caller = new TestCaller(fleet.callerAddresses(), 8, 10)) {
				List<String> survivors = ejectTargetAndKillCoordinator(fleet);
				long killedNanos = System.nanoTime();
				fleet.setBehaviour("booking-5", FAIL_HALF_OF_REQUESTS);
				awaitEjections(fleet, survivors, TWO_FAULTY_TARGETS, "the verdict has expired", EXPIRY_DEADLINE_MILLIS,
						Set::isEmpty);
				awaitEjections(fleet, survivors, TWO_FAULTY_TARGETS, "one target is ejected",
						REMOVAL_DEADLINE_MILLIS + HANDOVER_MILLIS + REPORT_DEADLINE_MILLIS - millisSince(killedNanos),
						(ejected) -> ejected.size() == 1);
				long ejectedNanos = System.nanoTime();
				awaitEjections(fleet, survivors, TWO_FAULTY_TARGETS, "2 s have passed", 3000,
						(ids) -> millisSince(ejectedNanos) > 2000);
				assertThat(caller.endedSince(killedNanos)).isNotEmpty();
			}
		}

		// Returns the ids of the surviving hosts.
		private static List<String> ejectTargetAndKillCoordinator(TestFleet fleet) throws Exception {
			Thread.sleep(4000);
			fleet.setBehaviour("booking-4", FAIL_HALF_OF_REQUESTS);
			TestFleet.await("booking-4 is ejected at every host", 5000, () -> isEjectedAtEveryHost(fleet, "booking-4"));
			String coordinator = fleet.coordinator();
			fleet.signal(coordinator, "KILL");
			List<String> survivors = new ArrayList<>(fleet.hostIds());
			survivors.remove(coordinator);
			return survivors;
		}

		private static long millisSince(long nanos) {
			return (System.nanoTime() - nanos) / 1_000_000;
		}

		// Waits until the condition holds for the ejections of every host. With 20 slots
		// the capacity floor of 0.7 permits one ejected target at a time over all hosts,
		// which is asserted at every check.
		private static void awaitEjections(TestFleet fleet, List<String> hosts, Set<String> faultyTargets,
				String description, long millis, Predicate<Set<String>> condition) throws Exception {
			TestFleet.await(description, millis, () -> {
				Set<String> union = new TreeSet<>();
				boolean allMatch = true;
				for (String host : hosts) {
					Set<String> ejected = fleet.ejected(host);
					union.addAll(ejected);
					allMatch &= condition.test(ejected);
				}
				assertThat(union).as("ejected at any host").isSubsetOf(faultyTargets).hasSizeLessThanOrEqualTo(1);
				return allMatch;
			});
		}

		// Returns the fraction of the requests started within the next two seconds that
		// booking-4 received.
		private static double requestFraction(TestFleet fleet) throws Exception {
			Map<String, Long> before = startedRequests(fleet);
			Thread.sleep(2000);
			Map<String, Long> after = startedRequests(fleet);
			long total = 0;
			for (String target : after.keySet()) {
				total += after.getOrDefault(target, 0L) - before.getOrDefault(target, 0L);
			}
			assertThat(total).as("requests started").isGreaterThan(100);
			return (double) (after.getOrDefault("booking-4", 0L) - before.getOrDefault("booking-4", 0L)) / total;
		}

		private static Map<String, Long> startedRequests(TestFleet fleet) throws Exception {
			Map<String, Long> counts = new TreeMap<>();
			for (String target : fleet.targetIds()) {
				counts.put(target, fleet.started(target));
			}
			return counts;
		}

	}

	@Nested
	class DrainingTarget {

		@Test
		void getsNoNewRequestsAfterThreeSeconds(TestFleet fleet) throws Exception {
			try (TestCaller caller = new TestCaller(fleet.callerAddresses(), 8, 10)) {
				long before = fleet.started("booking-3");
				Thread.sleep(1000);
				assertThat(fleet.started("booking-3")).isGreaterThan(before);
				fleet.setBehaviour("booking-3", "\"drain\": {\"announceMillis\": 60000}");
				Thread.sleep(3000);
				long startedRequests = fleet.started("booking-3");
				long drainingNanos = System.nanoTime();
				Thread.sleep(2000);
				assertThat(caller.endedSince(drainingNanos)).isNotEmpty();
				assertThat(fleet.started("booking-3")).isEqualTo(startedRequests);
			}
		}

	}

	@Nested
	class AccountOverItsRate {

		private static final long SENDING_SECONDS = 6;

		@Test
		void getsNoMoreThanBurstAndRateOverAllHosts(TestFleet fleet) throws Exception {
			AtomicInteger answered = new AtomicInteger();
			AtomicInteger sent = new AtomicInteger();
			long startNanos = System.nanoTime();
			List<Thread> threads = new ArrayList<>();
			for (String address : fleet.callerAddresses()) {
				for (int i = 0; i < 5; i++) {
					Thread thread = new Thread(() -> send(address, startNanos, sent, answered));
					thread.start();
					threads.add(thread);
				}
			}
			for (Thread thread : threads) {
				thread.join();
			}
			double seconds = (System.nanoTime() - startNanos) / 1e9;
			double maximumAnswered = TestFleet.LIMITED_RATE + TestFleet.LIMITED_RATE * seconds;
			assertThat(sent.get()).as("requests sent").isGreaterThan((int) (2 * maximumAnswered));
			assertThat((double) answered.get()).as("answers in %s s", seconds).isLessThanOrEqualTo(maximumAnswered);
		}

		private void send(String address, long startNanos, AtomicInteger sent, AtomicInteger answered) {
			TestHttpClient http = new TestHttpClient(address);
			try {
				while (System.nanoTime() - startNanos < SENDING_SECONDS * 1_000_000_000L) {
					sent.incrementAndGet();
					if (http.send("GET", "/booking/1", "", Map.of("X-Api-Key", TestFleet.LIMITED_KEY), 5000)
						.statusCode() == 200) {
						answered.incrementAndGet();
					}
					Thread.sleep(20);
				}
			}
			catch (Exception ex) {
				throw new IllegalStateException("no answer from " + address, ex);
			}
		}

	}

}
