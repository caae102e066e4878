package org.plantainspur.core.rate;

import java.util.Arrays;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against refusals of accounts that are within their rate at a host that joined
 * seconds ago. Each account gains a new home host, where 70% of its demand arrives after
 * a time without any.
 */
class JoinDemandTests {

	private static final int SEEDS = 30;

	// The share starts empty, so a small account that sends two requests at once to a
	// host
	// without lenders is refused the second.
	private static final double ALL_BOUND = 0.015;

	private static final double WORST_ACCOUNT_BOUND = 0.4;

	// Adds up several runs, since a small account sends only four requests in one.
	private static void firstSecondOfDemand(long settleMillis) {
		int accounts = SimulatedDemand.RATES.length;
		int[] requests = new int[accounts];
		int[] refused = new int[accounts];
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedDemand run = new SimulatedDemand(1, seed);
			run.idle(8000);
			Set<String> joined = run.join();
			run.idle(settleMillis);
			run.moveTo(joined);
			run.measure(1000);
			for (int i = 0; i < accounts; i++) {
				requests[i] += run.of(i)[0];
				refused[i] += run.of(i)[1];
			}
		}
		double worst = IntStream.range(0, accounts)
			.mapToDouble((i) -> (double) refused[i] / requests[i])
			.max()
			.orElse(1);
		int sum = Arrays.stream(refused).sum();
		int all = Arrays.stream(requests).sum();
		System.out.printf(
				"first second of demand, %d ms after a join: %d of %d refused within rate (%.2f%%), worst account %.1f%%%n",
				settleMillis, sum, all, 100.0 * sum / all, 100 * worst);
		assertThat((double) sum / all).isLessThan(ALL_BOUND);
		assertThat(worst).isLessThan(WORST_ACCOUNT_BOUND);
	}

	@Nested
	class HostThatHasSettled {

		@Test
		void firstRequestsAreRefusedAfterOneAndAHalfSeconds() {
			firstSecondOfDemand(1500);
		}

		@Test
		void firstRequestsAreRefusedAfterTwoAndAHalfSeconds() {
			firstSecondOfDemand(2500);
		}

	}

}
