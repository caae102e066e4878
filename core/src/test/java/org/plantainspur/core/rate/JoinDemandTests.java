package org.plantainspur.core.rate;

import java.util.Arrays;
import java.util.Set;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against refusals of accounts that are within their rate at a host that joined
 * seconds ago. Each account gets a new home host, where 70% of its demand arrives after a
 * time without demand.
 */
class JoinDemandTests {

	private static final int SEEDS = 30;

	// The fraction of the requests that may be refused although the account is within its
	// rate. It is not 0, since a gained share starts without tokens: if a small account
	// sends two requests at once to a host without lenders, the second one is refused.
	private static final double MAX_REFUSED = 0.015;

	private static final double MAX_REFUSED_OF_ONE_ACCOUNT = 0.4;

	// Adds up several runs, since a small account sends only four requests in each.
	private static void measureFirstSecondOfDemand(long millisAfterJoin) {
		int accounts = SimulatedDemand.RATES.length;
		int[] requests = new int[accounts];
		int[] refused = new int[accounts];
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedDemand run = new SimulatedDemand(1, seed);
			run.runWithoutDemand(8000);
			Set<String> joined = run.join();
			run.runWithoutDemand(millisAfterJoin);
			run.moveToHomeHosts(joined);
			run.measure(1000);
			for (int i = 0; i < accounts; i++) {
				requests[i] += run.countsOf(i)[0];
				refused[i] += run.countsOf(i)[1];
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
				millisAfterJoin, sum, all, 100.0 * sum / all, 100 * worst);
		assertThat((double) sum / all).isLessThan(MAX_REFUSED);
		assertThat(worst).isLessThan(MAX_REFUSED_OF_ONE_ACCOUNT);
	}

	@Nested
	class HostThatJoinedSecondsAgo {

		@Test
		void servesFirstRequestsAfterOneAndAHalfSeconds() {
			measureFirstSecondOfDemand(1500);
		}

		@Test
		void servesFirstRequestsAfterTwoAndAHalfSeconds() {
			measureFirstSecondOfDemand(2500);
		}

	}

}
