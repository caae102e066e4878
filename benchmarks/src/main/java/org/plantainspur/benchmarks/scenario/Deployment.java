package org.plantainspur.benchmarks.scenario;

import java.util.ArrayList;
import java.util.List;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.routing.Target;

/**
 * The size of a deployment (design page, section 1.1). The normal traffic is an
 * assumption: half of the slots busy with requests of 100 ms.
 *
 * @param name the name
 * @param regions the two regions
 * @param targetCount all targets, spread over three services and both regions
 * @param slots the slots of each target
 * @param requestsPerSecond the requests of each target
 */
public record Deployment(String name, List<String> regions, int targetCount, int slots, double requestsPerSecond) {

	/** Entry hosts. */
	public static final int HOSTS = 40;

	/** Hosts to which the callers of one account connect. */
	public static final int HOMES = 4;

	/** The accounts' parts of the traffic; a few are large. */
	static final double[] ACCOUNT_SHARES = { 0.35, 0.25, 0.15, 0.1, 0.06, 0.04, 0.03, 0.02 };

	private static final int SERVICES = 3;

	/** The first deployment. */
	public static final Deployment CASCADIA = new Deployment("cascadia", List.of("pdx", "sea"), 35, 4, 20);

	/** The second deployment. */
	public static final Deployment CERTIMATA = new Deployment("certimata", List.of("nordeste-sul", "nordeste-norte"),
			30, 2, 10);

	/**
	 * Returns the targets; target {@code t<n>} serves {@code svc<n mod 3>}.
	 * @return the targets
	 */
	public List<Target> targets() {
		List<Target> targets = new ArrayList<>();
		for (int i = 0; i < this.targetCount; i++) {
			String region = this.regions.get((i / SERVICES) % 2);
			targets.add(new Target("t" + i, "svc" + (i % SERVICES), "127.0.0.1:1", region, region + "-a", this.slots,
					400, false));
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
		for (int i = 0; i < HOSTS; i++) {
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
		for (int i = 0; i < ACCOUNT_SHARES.length; i++) {
			double rate = ACCOUNT_SHARES[i] * this.requestsPerSecond * this.targetCount;
			accounts.add(new ClientAccount("a" + i, rate, rate));
		}
		return accounts;
	}

}
