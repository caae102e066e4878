package org.plantainspur.benchmarks.scenario;

import java.util.ArrayList;
import java.util.List;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.routing.Target;

/**
 * The size of a simulated deployment (design page, section 1.1). Normal traffic is
 * assumed to keep half of the slots busy with requests of 100 ms.
 *
 * @param name the name in reports and trace files
 * @param regions the names of the two regions
 * @param targetCount the number of targets, spread evenly over three services and both
 * regions
 * @param slots the concurrent requests that each target serves
 * @param requestsPerSecond the rate of requests to each target
 */
public record Deployment(String name, List<String> regions, int targetCount, int slots, double requestsPerSecond) {

	/** Number of entry hosts, spread evenly over both regions. */
	public static final int HOST_COUNT = 40;

	/** Number of hosts to which the callers of one account connect. */
	public static final int HOME_HOSTS_PER_ACCOUNT = 4;

	/** Fraction of the traffic that each account sends; they add up to 1. */
	static final double[] ACCOUNT_TRAFFIC_SHARES = { 0.35, 0.25, 0.15, 0.1, 0.06, 0.04, 0.03, 0.02 };

	private static final int SERVICE_COUNT = 3;

	/** The deployment in the regions pdx and sea, 4 slots a target. */
	public static final Deployment CASCADIA = new Deployment("cascadia", List.of("pdx", "sea"), 35, 4, 20);

	/**
	 * The deployment in the regions nordeste-sul and nordeste-norte, 2 slots a target.
	 */
	public static final Deployment CERTIMATA = new Deployment("certimata", List.of("nordeste-sul", "nordeste-norte"),
			30, 2, 10);

	/**
	 * Returns the targets of all services. Target {@code t<n>} serves {@code svc<n mod
	 * 3>}.
	 * @return the targets in order of their numbers, from {@code t0}
	 */
	public List<Target> targets() {
		List<Target> targets = new ArrayList<>();
		for (int i = 0; i < this.targetCount; i++) {
			String region = this.regions.get((i / SERVICE_COUNT) % 2);
			targets.add(new Target("t" + i, "svc" + (i % SERVICE_COUNT), "127.0.0.1:1", region, region + "-a",
					this.slots, 400, false));
		}
		return targets;
	}

	List<String> services() {
		return List.of("svc0", "svc1", "svc2");
	}

	String region(int host) {
		return this.regions.get(host % 2);
	}

	Membership membership() {
		Membership membership = Membership.empty();
		for (int i = 0; i < HOST_COUNT; i++) {
			Member member = Member.builder("h" + i, "p" + i)
				.region(region(i))
				.failureDomain(region(i) + ((i % 4 < 2) ? "-a" : "-b"))
				.build();
			membership = membership.apply(new Change.MemberJoined(member), i);
		}
		return membership;
	}

	List<ClientAccount> accounts() {
		List<ClientAccount> accounts = new ArrayList<>();
		for (int i = 0; i < ACCOUNT_TRAFFIC_SHARES.length; i++) {
			double rate = ACCOUNT_TRAFFIC_SHARES[i] * this.requestsPerSecond * this.targetCount;
			accounts.add(new ClientAccount("a" + i, rate, rate));
		}
		return accounts;
	}

}
