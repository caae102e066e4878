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
 * Guards against sick or leaving targets that go on getting work, and against an account
 * that gets more than its rate over all hosts.
 */
@Timeout(120)
@ExtendWith(SharedFleet.class)
class TargetFailureTests {

	private static final String FAILS_HALF = "\"gray\": [{\"kind\": \"fail\", \"fraction\": 0.5, \"status\": 500, \"account\": null}]";

	private static boolean ejectedEverywhere(TestFleet fleet, String targetId) throws Exception {
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
		void isOutAtEveryHostWithinFiveSeconds(TestFleet fleet) throws Exception {
			try (TestCaller caller = new TestCaller(fleet.callerAddresses(), 8, 10)) {
				// Verdicts need siblings with traffic to compare with.
				Thread.sleep(4000);
				fleet.behave("booking-2", FAILS_HALF);
				TestFleet.await("booking-2 is ejected at every host", 5000,
						() -> ejectedEverywhere(fleet, "booking-2"));
			}
		}

	}

	@Nested
	class KilledCoordinator {

		private static final Set<String> SICK = Set.of("booking-4");

		private static final Set<String> TWO_SICK = Set.of("booking-4", "booking-5");

		/** The lifetime of a verdict, and the requests of this test. */
		private static final long EXPIRED_MILLIS = 2500 + 1000;

		/** Until the other hosts have the removal of a killed host in force. */
		private static final long REMOVED_MILLIS = 3000 + 2 * 500 + 250 + 500;

		/** F plus the verdict lifetime, with the margin for clock rates. */
		private static final long SETTLED_MILLIS = 5660;

		/** A report, whose answer carries the verdict, and the requests of this test. */
		private static final long REPORTED_MILLIS = 500 + 1000;

		@Test
		void leavesTheTargetOutAgainWithinTheBound(TestFleet fleet) throws Exception {
			try (TestCaller caller = new TestCaller(fleet.callerAddresses(), 8, 10)) {
				List<String> others = ejectAndKill(fleet);
				long killed = System.nanoTime();
				awaitWatched(fleet, others, SICK, "the verdict has expired", EXPIRED_MILLIS, Set::isEmpty);
				double share = share(fleet);
				awaitWatched(fleet, others, SICK, "booking-4 is ejected again",
						REMOVED_MILLIS + SETTLED_MILLIS + REPORTED_MILLIS - millisSince(killed), SICK::equals);
				System.out.println("coordinator killed: booking-4 had " + share
						+ " of the work after its verdict expired and was ejected again after " + millisSince(killed)
						+ " ms");
				assertThat(others).contains(fleet.coordinator());
				assertThat(share(fleet)).as("share of a target of five").isLessThan(0.05);
				assertThat(caller.since(killed)).isNotEmpty();
			}
		}

		// Either target may be the sicker one by then.
		@Test
		void leavesOnlyOneOfTwoSickTargetsOut(TestFleet fleet) throws Exception {
			try (TestCaller caller = new TestCaller(fleet.callerAddresses(), 8, 10)) {
				List<String> others = ejectAndKill(fleet);
				long killed = System.nanoTime();
				fleet.behave("booking-5", FAILS_HALF);
				awaitWatched(fleet, others, TWO_SICK, "the verdict has expired", EXPIRED_MILLIS, Set::isEmpty);
				awaitWatched(fleet, others, TWO_SICK, "one target is ejected",
						REMOVED_MILLIS + SETTLED_MILLIS + REPORTED_MILLIS - millisSince(killed),
						(ejected) -> ejected.size() == 1);
				long ejected = System.nanoTime();
				awaitWatched(fleet, others, TWO_SICK, "2 s have passed", 3000, (ids) -> millisSince(ejected) > 2000);
				assertThat(caller.since(killed)).isNotEmpty();
			}
		}

		// Returns the hosts that are left.
		private static List<String> ejectAndKill(TestFleet fleet) throws Exception {
			Thread.sleep(4000);
			fleet.behave("booking-4", FAILS_HALF);
			TestFleet.await("booking-4 is ejected at every host", 5000, () -> ejectedEverywhere(fleet, "booking-4"));
			String coordinator = fleet.coordinator();
			fleet.signal(coordinator, "KILL");
			List<String> others = new ArrayList<>(fleet.hostIds());
			others.remove(coordinator);
			return others;
		}

		private static long millisSince(long nanos) {
			return (System.nanoTime() - nanos) / 1_000_000;
		}

		// Waits until the condition holds for every host's ejections. Of the 20 slots
		// the floor of 0.7 permits the ejection of one target at a time, over all hosts.
		private static void awaitWatched(TestFleet fleet, List<String> hosts, Set<String> sick, String what,
				long millis, Predicate<Set<String>> condition) throws Exception {
			TestFleet.await(what, millis, () -> {
				Set<String> union = new TreeSet<>();
				boolean all = true;
				for (String host : hosts) {
					Set<String> ejected = fleet.ejected(host);
					union.addAll(ejected);
					all &= condition.test(ejected);
				}
				assertThat(union).as("ejected at any host").isSubsetOf(sick).hasSizeLessThanOrEqualTo(1);
				return all;
			});
		}

		// Returns the fraction of the requests begun within two seconds that the target
		// got.
		private static double share(TestFleet fleet) throws Exception {
			Map<String, Long> before = started(fleet);
			Thread.sleep(2000);
			Map<String, Long> after = started(fleet);
			long all = 0;
			for (String target : after.keySet()) {
				all += after.getOrDefault(target, 0L) - before.getOrDefault(target, 0L);
			}
			assertThat(all).as("requests begun").isGreaterThan(100);
			return (double) (after.getOrDefault("booking-4", 0L) - before.getOrDefault("booking-4", 0L)) / all;
		}

		private static Map<String, Long> started(TestFleet fleet) throws Exception {
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
		void getsNoNewWorkAfterThreeSeconds(TestFleet fleet) throws Exception {
			try (TestCaller caller = new TestCaller(fleet.callerAddresses(), 8, 10)) {
				long before = fleet.started("booking-3");
				Thread.sleep(1000);
				assertThat(fleet.started("booking-3")).isGreaterThan(before);
				fleet.behave("booking-3", "\"drain\": {\"announceMillis\": 60000}");
				Thread.sleep(3000);
				long started = fleet.started("booking-3");
				long since = System.nanoTime();
				Thread.sleep(2000);
				assertThat(caller.since(since)).isNotEmpty();
				assertThat(fleet.started("booking-3")).isEqualTo(started);
			}
		}

	}

	@Nested
	class AccountOverItsRate {

		private static final long SECONDS = 6;

		@Test
		void getsNoMoreThanBurstAndRateOverAllHosts(TestFleet fleet) throws Exception {
			AtomicInteger answered = new AtomicInteger();
			AtomicInteger sent = new AtomicInteger();
			long start = System.nanoTime();
			List<Thread> threads = new ArrayList<>();
			for (String address : fleet.callerAddresses()) {
				for (int i = 0; i < 5; i++) {
					Thread thread = new Thread(() -> send(address, start, sent, answered));
					thread.start();
					threads.add(thread);
				}
			}
			for (Thread thread : threads) {
				thread.join();
			}
			double seconds = (System.nanoTime() - start) / 1e9;
			double most = TestFleet.LIMITED_RATE + TestFleet.LIMITED_RATE * seconds;
			assertThat(sent.get()).as("requests sent").isGreaterThan((int) (2 * most));
			assertThat((double) answered.get()).as("answers in %s s", seconds).isLessThanOrEqualTo(most);
		}

		private void send(String address, long start, AtomicInteger sent, AtomicInteger answered) {
			Calls calls = new Calls(address);
			try {
				while (System.nanoTime() - start < SECONDS * 1_000_000_000L) {
					sent.incrementAndGet();
					if (calls.send("GET", "/booking/1", "", Map.of("X-Api-Key", TestFleet.LIMITED_KEY), 5000)
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
