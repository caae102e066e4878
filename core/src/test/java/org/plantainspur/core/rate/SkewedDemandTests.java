package org.plantainspur.core.rate;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against refusals of accounts that are within their rate. Forty hosts serve eight
 * accounts whose demand is 85% of their rate and falls on four hosts, 70% of it on one.
 */
class SkewedDemandTests {

	private static final double STEADY_BOUND = 0.001;

	private static final double SHIFT_BOUND = 0.01;

	private static final int SEEDS = 3;

	// Adds up several runs, so that one lucky seed does not hide a fault.
	private static double refusedShare(String scenario, double burstSeconds, boolean shifted) {
		int requests = 0;
		int refused = 0;
		int overRate = 0;
		double messages = 0;
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedDemand run = new SimulatedDemand(burstSeconds, seed);
			run.serve(10_000);
			if (shifted) {
				run.shift();
			}
			run.measure(60_000);
			requests += run.requests();
			refused += run.refused();
			overRate += run.overRate();
			messages += run.messagesPerSecond() / SEEDS;
		}
		System.out.printf("%s, burst %.0f s: %d of %d refused within rate (%.4f%%), %d over rate, %.0f loans asked/s%n",
				scenario, burstSeconds, refused, requests, 100.0 * refused / requests, overRate, messages);
		return (double) refused / requests;
	}

	@Nested
	class SteadyDemand {

		@Test
		void accountWithinItsRateIsRefused() {
			assertThat(refusedShare("steady", 2, false)).isLessThan(STEADY_BOUND);
		}

		@Test
		void accountWithASmallBurstIsRefused() {
			assertThat(refusedShare("steady", 1, false)).isLessThan(STEADY_BOUND);
		}

	}

	@Nested
	class DemandThatMoved {

		@Test
		void accountWithinItsRateIsRefusedInTheFirstMinute() {
			assertThat(refusedShare("first minute after a shift", 2, true)).isLessThan(SHIFT_BOUND);
		}

		// Demand that comes to other hosts only is carried by loans.
		@Test
		void accountWithASmallBurstIsRefusedInTheFirstMinute() {
			assertThat(refusedShare("first minute after a shift", 1, true)).isLessThan(SHIFT_BOUND);
		}

	}

}
