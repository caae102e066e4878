package org.plantainspur.core.rate;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.RendezvousHomeHosts;

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
			Run run = new Run(burstSeconds, seed);
			run.serve(10_000);
			if (shifted) {
				run.shift();
			}
			run.measure(60_000);
			requests += run.requests;
			refused += run.refused;
			overRate += run.overRate;
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

	/**
	 * One deterministic run.
	 */
	private static final class Run {

		private static final int HOSTS = 40;

		private static final double DEMAND = 0.85;

		private static final double[] RATES = { 400, 300, 150, 40, 30, 20, 10, 5 };

		private static final double[] SKEW = { 0.7, 0.1, 0.1, 0.1 };

		private final Random random;

		private final SimulatedFleet fleet;

		private final List<ClientAccount> accounts = new ArrayList<>();

		private final Map<ClientAccount, List<SimulatedHost>> entries = new HashMap<>();

		private final Map<SimulatedHost, Map<ClientAccount, Deque<Waiting>>> waiting = new LinkedHashMap<>();

		private int requests;

		private int refused;

		private int overRate;

		private final Map<ClientAccount, WholeBucket> whole = new HashMap<>();

		private long measuredMillis;

		private long messagesBefore;

		Run(double burstSeconds, long seed) {
			this.random = new Random(seed);
			this.fleet = new SimulatedFleet(new SimulatedNetwork(this.random, 1, 32, 0), () -> 1.0,
					SimulatedHost::shared);
			for (int i = 0; i < RATES.length; i++) {
				this.accounts.add(new ClientAccount("account-" + i, RATES[i], Math.max(4, RATES[i] * burstSeconds)));
				this.fleet.put(this.accounts.get(i));
				this.whole.put(this.accounts.get(i), new WholeBucket(this.accounts.get(i)));
			}
			for (int i = 0; i < HOSTS; i++) {
				this.fleet.start("host-" + i);
			}
			this.accounts.forEach((account) -> this.entries.put(account, homes(account)));
		}

		private List<SimulatedHost> homes(ClientAccount account) {
			this.fleet.run(1);
			List<Member> homes = new RendezvousHomeHosts().homes(account, this.fleet.log().membership());
			return homes.stream().map((home) -> this.fleet.hosts.get(home.hostId())).toList();
		}

		void shift() {
			for (ClientAccount account : this.accounts) {
				List<SimulatedHost> others = new ArrayList<>(this.fleet.hosts.values());
				others.removeAll(homes(account));
				this.entries.put(account, others.subList(0, SKEW.length));
			}
		}

		void measure(long millis) {
			this.requests = 0;
			this.refused = 0;
			this.overRate = 0;
			this.messagesBefore = this.fleet.network.borrowMessages();
			this.measuredMillis = millis;
			serve(millis);
		}

		double messagesPerSecond() {
			return 1000.0 * (this.fleet.network.borrowMessages() - this.messagesBefore) / this.measuredMillis;
		}

		void serve(long millis) {
			for (long i = 0; i < millis; i++) {
				this.fleet.tick();
				this.waiting
					.forEach((host, byAccount) -> byAccount.forEach((account, queue) -> retry(host, account, queue)));
				this.accounts.forEach(this::arrivals);
			}
		}

		private void arrivals(ClientAccount account) {
			double perMilli = DEMAND * account.ratePerSecond() / 1000;
			List<SimulatedHost> hosts = this.entries.get(account);
			for (double gap = exponential(); gap < perMilli; gap += exponential()) {
				double place = this.random.nextDouble();
				int index = 0;
				while (index < hosts.size() - 1 && place >= SKEW[index]) {
					place -= SKEW[index++];
				}
				arrive(hosts.get(index), account);
			}
		}

		private double exponential() {
			return -Math.log(1 - this.random.nextDouble());
		}

		private void arrive(SimulatedHost host, ClientAccount account) {
			this.requests++;
			boolean within = this.whole.get(account).take(this.fleet.network.now());
			SharedRateLimiter limiter = (SharedRateLimiter) host.limiter;
			if (limiter.arrive(account)) {
				return;
			}
			if (!limiter.limit(account).startWaiting()) {
				refuse(within);
				return;
			}
			this.waiting.computeIfAbsent(host, (key) -> new LinkedHashMap<>())
				.computeIfAbsent(account, (key) -> new ArrayDeque<>())
				.add(new Waiting(this.fleet.network.now(), within));
		}

		private void refuse(boolean within) {
			this.refused += within ? 1 : 0;
			this.overRate += within ? 0 : 1;
		}

		private void retry(SimulatedHost host, ClientAccount account, Deque<Waiting> queue) {
			SharedRateLimiter limiter = (SharedRateLimiter) host.limiter;
			while (!queue.isEmpty() && limiter.take(account)) {
				queue.poll();
				limiter.limit(account).stopWaiting();
			}
			while (!queue.isEmpty() && this.fleet.network.now() - queue.peek().sinceMillis() >= 200) {
				refuse(queue.poll().within());
				limiter.limit(account).stopWaiting();
			}
		}

	}

	/**
	 * A request that waits for a token.
	 *
	 * @param sinceMillis when it arrived
	 * @param within whether the account was within its rate and burst then
	 */
	private record Waiting(long sinceMillis, boolean within) {
	}

	/**
	 * One bucket for all hosts, which tells whether a request is within the account's
	 * rate and burst.
	 */
	private static final class WholeBucket {

		private final ClientAccount account;

		private double level;

		private long atMillis;

		WholeBucket(ClientAccount account) {
			this.account = account;
			this.level = account.burst();
		}

		boolean take(long now) {
			this.level = Math.min(this.account.burst(),
					this.level + (now - this.atMillis) * this.account.ratePerSecond() / 1000);
			this.atMillis = now;
			boolean taken = this.level >= 1;
			this.level -= taken ? 1 : 0;
			return taken;
		}

	}

}
