package org.plantainspur.core.rate;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.membership.RendezvousHostAssignment;

/**
 * One deterministic simulation of forty hosts that serve eight accounts. The demand of
 * each account is 85% of its rate and arrives at four hosts, 70% of it at one of them.
 */
final class SimulatedDemand {

	private static final int HOSTS = 40;

	private static final double DEMAND_OF_RATE = 0.85;

	static final double[] RATES = { 400, 300, 150, 40, 30, 20, 10, 5 };

	private static final double[] DEMAND_SHARES = { 0.7, 0.1, 0.1, 0.1 };

	private final Random random;

	private final SimulatedFleet fleet;

	private final List<ClientAccount> accounts = new ArrayList<>();

	private final Map<ClientAccount, List<SimulatedHost>> receivingHosts = new HashMap<>();

	private final Map<SimulatedHost, Map<ClientAccount, Deque<Waiting>>> waiting = new LinkedHashMap<>();

	private final Map<ClientAccount, int[]> countsByAccount = new HashMap<>();

	private int requests;

	private int refusedWithinRate;

	private int refusedOverRate;

	private final Map<ClientAccount, ReferenceBucket> referenceBuckets = new HashMap<>();

	private long measuredMillis;

	private long messagesBefore;

	SimulatedDemand(double burstSeconds, long seed) {
		this.random = new Random(seed);
		this.fleet = new SimulatedFleet(new SimulatedNetwork(this.random, 1, 32, 0), () -> 1.0,
				SimulatedHost::sharedRateLimiter);
		for (int i = 0; i < RATES.length; i++) {
			this.accounts.add(new ClientAccount("account-" + i, RATES[i], Math.max(4, RATES[i] * burstSeconds)));
			this.fleet.putAccount(this.accounts.get(i));
			this.referenceBuckets.put(this.accounts.get(i), new ReferenceBucket(this.accounts.get(i)));
		}
		for (int i = 0; i < HOSTS; i++) {
			this.fleet.start("host-" + i);
		}
		this.accounts.forEach((account) -> this.receivingHosts.put(account, homes(account)));
	}

	private List<SimulatedHost> homes(ClientAccount account) {
		this.fleet.run(1);
		List<Member> homes = new RendezvousHostAssignment().homeHosts(account, this.fleet.configuration().membership());
		return homes.stream().map((home) -> this.fleet.hosts.get(home.hostId())).toList();
	}

	// Moves all demand to hosts that hold no share and serve from loans only.
	void moveToNonHomeHosts() {
		for (ClientAccount account : this.accounts) {
			List<SimulatedHost> others = new ArrayList<>(this.fleet.hosts.values());
			others.removeAll(homes(account));
			this.receivingHosts.put(account, others.subList(0, DEMAND_SHARES.length));
		}
	}

	int requests() {
		return this.requests;
	}

	int refusedWithinRate() {
		return this.refusedWithinRate;
	}

	/**
	 * Returns how many requests an account sent, and how many of them were refused
	 * although the account was within its rate.
	 * @param account the account's index in {@link #RATES}
	 * @return an array of the number of requests and the number of refusals
	 */
	int[] countsOf(int account) {
		return this.countsByAccount.getOrDefault(this.accounts.get(account), new int[2]).clone();
	}

	int refusedOverRate() {
		return this.refusedOverRate;
	}

	/**
	 * Lets new hosts join until each account has a new home host.
	 * @return the ids of the new hosts
	 */
	Set<String> join() {
		Set<String> joined = new LinkedHashSet<>();
		for (ClientAccount account : this.accounts) {
			if (homes(account).stream().noneMatch((home) -> joined.contains(home.member.hostId()))) {
				String hostId = newHome(account);
				this.fleet.start(hostId);
				joined.add(hostId);
			}
		}
		return joined;
	}

	private String newHome(ClientAccount account) {
		for (int i = 0;; i++) {
			Member member = Member.builder("new-" + i, "p").region(SimulatedFleet.region("new-" + i)).build();
			Membership after = this.fleet.configuration()
				.membership()
				.apply(new Change.MemberJoined(member), Long.MAX_VALUE);
			if (!this.fleet.hosts.containsKey(member.hostId())
					&& new RendezvousHostAssignment().homeHosts(account, after).contains(member)) {
				return member.hostId();
			}
		}
	}

	/**
	 * Moves each account's demand to its current home hosts, most of it to one that has
	 * just joined.
	 * @param joined the ids of the hosts that have just joined
	 */
	void moveToHomeHosts(Set<String> joined) {
		for (ClientAccount account : this.accounts) {
			List<SimulatedHost> homes = new ArrayList<>(homes(account));
			homes.sort(Comparator.comparing((home) -> !joined.contains(home.member.hostId())));
			this.receivingHosts.put(account, homes);
		}
	}

	void runWithoutDemand(long millis) {
		this.fleet.run(millis);
	}

	void measure(long millis) {
		this.requests = 0;
		this.refusedWithinRate = 0;
		this.refusedOverRate = 0;
		this.countsByAccount.clear();
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
			this.waiting.forEach(
					(host, byAccount) -> byAccount.forEach((account, queue) -> serveWaiting(host, account, queue)));
			this.accounts.forEach(this::generateArrivals);
		}
	}

	private void generateArrivals(ClientAccount account) {
		double perMilli = DEMAND_OF_RATE * account.ratePerSecond() / 1000;
		List<SimulatedHost> hosts = this.receivingHosts.get(account);
		for (double gap = exponential(); gap < perMilli; gap += exponential()) {
			double drawn = this.random.nextDouble();
			int index = 0;
			while (index < hosts.size() - 1 && drawn >= DEMAND_SHARES[index]) {
				drawn -= DEMAND_SHARES[index++];
			}
			arrive(hosts.get(index), account);
		}
	}

	private double exponential() {
		return -Math.log(1 - this.random.nextDouble());
	}

	private void arrive(SimulatedHost host, ClientAccount account) {
		this.requests++;
		this.countsByAccount.computeIfAbsent(account, (key) -> new int[2])[0]++;
		boolean withinRate = this.referenceBuckets.get(account).take(this.fleet.network.now());
		SharedRateLimiter limiter = (SharedRateLimiter) host.limiter;
		if (limiter.countAndTryTake(account)) {
			return;
		}
		if (!limiter.limit(account).tryStartWaiting()) {
			recordRefusal(account, withinRate);
			return;
		}
		this.waiting.computeIfAbsent(host, (key) -> new LinkedHashMap<>())
			.computeIfAbsent(account, (key) -> new ArrayDeque<>())
			.add(new Waiting(this.fleet.network.now(), withinRate));
	}

	private void recordRefusal(ClientAccount account, boolean withinRate) {
		this.countsByAccount.computeIfAbsent(account, (key) -> new int[2])[1] += withinRate ? 1 : 0;
		this.refusedWithinRate += withinRate ? 1 : 0;
		this.refusedOverRate += withinRate ? 0 : 1;
	}

	private void serveWaiting(SimulatedHost host, ClientAccount account, Deque<Waiting> queue) {
		SharedRateLimiter limiter = (SharedRateLimiter) host.limiter;
		while (!queue.isEmpty() && limiter.tryTake(account)) {
			queue.poll();
			limiter.limit(account).stopWaiting();
		}
		while (!queue.isEmpty() && this.fleet.network.now() - queue.peek().sinceMillis() >= 200) {
			recordRefusal(account, queue.poll().withinRate());
			limiter.limit(account).stopWaiting();
		}
	}

	/**
	 * A request that waits for a token.
	 *
	 * @param sinceMillis the instant at which it arrived
	 * @param withinRate whether the account was within its rate and burst then
	 */
	private record Waiting(long sinceMillis, boolean withinRate) {
	}

	/**
	 * One bucket for all hosts together, which decides whether a request is within the
	 * account's rate and burst.
	 */
	private static final class ReferenceBucket {

		private final ClientAccount account;

		private double level;

		private long atMillis;

		ReferenceBucket(ClientAccount account) {
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
