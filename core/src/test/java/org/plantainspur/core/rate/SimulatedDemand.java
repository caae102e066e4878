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
import org.plantainspur.core.membership.RendezvousHomeHosts;

/**
 * One deterministic run of forty hosts that serve eight accounts, whose demand is 85% of
 * their rate and falls on four hosts, 70% of it on one.
 */
final class SimulatedDemand {

	private static final int HOSTS = 40;

	private static final double DEMAND = 0.85;

	static final double[] RATES = { 400, 300, 150, 40, 30, 20, 10, 5 };

	private static final double[] SKEW = { 0.7, 0.1, 0.1, 0.1 };

	private final Random random;

	private final SimulatedFleet fleet;

	private final List<ClientAccount> accounts = new ArrayList<>();

	private final Map<ClientAccount, List<SimulatedHost>> entries = new HashMap<>();

	private final Map<SimulatedHost, Map<ClientAccount, Deque<Waiting>>> waiting = new LinkedHashMap<>();

	private final Map<ClientAccount, int[]> byAccount = new HashMap<>();

	private int requests;

	private int refused;

	private int overRate;

	private final Map<ClientAccount, WholeBucket> whole = new HashMap<>();

	private long measuredMillis;

	private long messagesBefore;

	SimulatedDemand(double burstSeconds, long seed) {
		this.random = new Random(seed);
		this.fleet = new SimulatedFleet(new SimulatedNetwork(this.random, 1, 32, 0), () -> 1.0, SimulatedHost::shared);
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

	int requests() {
		return this.requests;
	}

	int refused() {
		return this.refused;
	}

	/**
	 * Returns the requests and the refusals within rate of one account.
	 * @param account the account's place
	 * @return both numbers
	 */
	int[] of(int account) {
		return this.byAccount.getOrDefault(this.accounts.get(account), new int[2]).clone();
	}

	int overRate() {
		return this.overRate;
	}

	/**
	 * Lets new hosts join, one of which is a home of each account.
	 * @return the new hosts
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
			Membership after = this.fleet.log().membership().apply(new Change.MemberJoined(member), Long.MAX_VALUE);
			if (!this.fleet.hosts.containsKey(member.hostId())
					&& new RendezvousHomeHosts().homes(account, after).contains(member)) {
				return member.hostId();
			}
		}
	}

	/**
	 * Moves each account's demand to its present home hosts, most of it to one that has
	 * just joined.
	 * @param joined the hosts that have just joined
	 */
	void moveTo(Set<String> joined) {
		for (ClientAccount account : this.accounts) {
			List<SimulatedHost> homes = new ArrayList<>(homes(account));
			homes.sort(Comparator.comparing((home) -> !joined.contains(home.member.hostId())));
			this.entries.put(account, homes);
		}
	}

	void idle(long millis) {
		this.fleet.run(millis);
	}

	void measure(long millis) {
		this.requests = 0;
		this.refused = 0;
		this.overRate = 0;
		this.byAccount.clear();
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
		this.byAccount.computeIfAbsent(account, (key) -> new int[2])[0]++;
		boolean within = this.whole.get(account).take(this.fleet.network.now());
		SharedRateLimiter limiter = (SharedRateLimiter) host.limiter;
		if (limiter.arrive(account)) {
			return;
		}
		if (!limiter.limit(account).startWaiting()) {
			refuse(account, within);
			return;
		}
		this.waiting.computeIfAbsent(host, (key) -> new LinkedHashMap<>())
			.computeIfAbsent(account, (key) -> new ArrayDeque<>())
			.add(new Waiting(this.fleet.network.now(), within));
	}

	private void refuse(ClientAccount account, boolean within) {
		this.byAccount.computeIfAbsent(account, (key) -> new int[2])[1] += within ? 1 : 0;
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
			refuse(account, queue.poll().within());
			limiter.limit(account).stopWaiting();
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
