package org.plantainspur.core.rate;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against refusals of accounts that are within their rate, if their demand arrives
 * at few hosts. Forty hosts serve eight accounts; the demand of each is 85% of its rate
 * and arrives at four hosts, 70% of it at one of them.
 */
class SkewedDemandTests {

	private static final double MAX_REFUSED_STEADY = 0.001;

	private static final double MAX_REFUSED_AFTER_SHIFT = 0.01;

	private static final int SEEDS = 3;

	// Adds up several runs, so that a favourable seed does not hide a fault.
	private static double refusedShare(String scenario, double burstSeconds, boolean demandShifts) {
		int requests = 0;
		int refused = 0;
		int overRate = 0;
		double messages = 0;
		for (int seed = 1; seed <= SEEDS; seed++) {
			SimulatedDemand run = new SimulatedDemand(burstSeconds, seed);
			run.serve(10_000);
			if (demandShifts) {
				run.moveToNonHomeHosts();
			}
			run.measure(60_000);
			requests += run.requests();
			refused += run.refusedWithinRate();
			overRate += run.refusedOverRate();
			messages += run.messagesPerSecond() / SEEDS;
		}
		System.out.printf(
				"%s, burst %.0f s: %d of %d refused within rate (%.4f%%), %d over rate, %.0f loan requests/s%n",
				scenario, burstSeconds, refused, requests, 100.0 * refused / requests, overRate, messages);
		return (double) refused / requests;
	}

	@Nested
	class SteadyDemand {

		@Test
		void accountWithinItsRateIsServed() {
			assertThat(refusedShare("steady", 2, false)).isLessThan(MAX_REFUSED_STEADY);
		}

		@Test
		void accountWithASmallBurstIsServed() {
			assertThat(refusedShare("steady", 1, false)).isLessThan(MAX_REFUSED_STEADY);
		}

	}

	@Nested
	class ShiftedDemand {

		@Test
		void accountWithinItsRateIsServedInTheFirstMinute() {
			assertThat(refusedShare("first minute after a shift", 2, true)).isLessThan(MAX_REFUSED_AFTER_SHIFT);
		}

		// All demand arrives at hosts without a share, so it is served from loans only.
		@Test
		void accountWithASmallBurstIsServedInTheFirstMinute() {
			assertThat(refusedShare("first minute after a shift", 1, true)).isLessThan(MAX_REFUSED_AFTER_SHIFT);
		}

	}

}
