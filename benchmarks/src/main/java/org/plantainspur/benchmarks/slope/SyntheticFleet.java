package org.plantainspur.benchmarks.slope;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.ConfigurationState;
import org.plantainspur.core.configuration.Route;
import org.plantainspur.core.configuration.ServicePolicy;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.request.KeyHash;
import org.plantainspur.core.routing.Target;

/**
 * A configuration and target list of a given size, the same in every run. Each account
 * has one key.
 *
 * @param accounts the number of client accounts
 * @param routes the number of routes
 * @param members the number of members
 * @param services the number of services
 * @param targetsPerService the number of targets of each service
 */
public record SyntheticFleet(int accounts, int routes, int members, int services, int targetsPerService) {

	/** The size of the fleet today. */
	public static final SyntheticFleet TODAY = new SyntheticFleet(8, 6, 40, 3, 12);

	/**
	 * The expected size in two years. The expected 12,000 targets are 15 or 16 for each
	 * service; here each has 15.
	 */
	public static final SyntheticFleet IN_TWO_YEARS = new SyntheticFleet(44_000, 4100, 950, 790, 15);

	private static final int FAILURE_DOMAIN_COUNT = 7;

	private static final int SLOTS_PER_TARGET = 4;

	private static final int CONNECTIONS_PER_TARGET = 4000;

	/**
	 * Rate in requests/s and burst in requests of each account, so high that no benchmark
	 * reaches them.
	 */
	private static final double ACCOUNT_RATE = 1e9;

	/**
	 * Builds a configuration of this size.
	 * @return the configuration; its sequence number is the number of its accounts, keys,
	 * routes, services and members
	 */
	public Configuration configuration() {
		Map<String, String> accountsByKeyHash = new HashMap<>();
		Map<String, Long> versions = new HashMap<>();
		List<ClientAccount> accountList = new ArrayList<>();
		for (int i = 0; i < this.accounts; i++) {
			accountList.add(new ClientAccount(account(i), ACCOUNT_RATE, ACCOUNT_RATE));
			accountsByKeyHash.put(KeyHash.of(key(i)), account(i));
			versions.put("account/" + account(i), (long) i + 1);
			versions.put("key/" + KeyHash.of(key(i)), (long) i + 1);
		}
		List<Route> routeList = IntStream.range(0, this.routes)
			.mapToObj((i) -> new Route("route-" + i, "GET", "/v1/area-" + i, service(i % this.services), true, false,
					5000))
			.toList();
		routeList.forEach((route) -> versions.put("route/" + route.id(), 1L));
		List<ServicePolicy> policies = IntStream.range(0, this.services)
			.mapToObj((i) -> new ServicePolicy(service(i), 0.7, 0.1))
			.toList();
		long sequence = 2L * this.accounts + this.routes + this.services + this.members;
		return Configuration.restore(new ConfigurationState(sequence, accountList, accountsByKeyHash, routeList,
				policies, new Membership.State(sequence, memberList(), sequence, 0, List.of(), List.of()), versions));
	}

	/**
	 * Builds the members, spread evenly over seven failure domains in two regions.
	 * @return the members, ordered by host id
	 */
	public List<Member> memberList() {
		return IntStream.range(0, this.members).mapToObj((i) -> {
			int domain = i % FAILURE_DOMAIN_COUNT;
			return Member.builder("entry-%04d".formatted(i), "process-%016x".formatted(i * 7919L))
				.region((domain % 2 == 0) ? "pdx" : "sea")
				.failureDomain("domain-" + domain)
				.callerAddress("127.0.0.1:%d".formatted(10_000 + i))
				.peerAddress("127.0.0.1:%d".formatted(20_000 + i))
				.adminAddress("127.0.0.1:%d".formatted(30_000 + i))
				.build();
		}).toList();
	}

	/**
	 * Builds the targets of all services.
	 * @return the targets, grouped by service
	 */
	public List<Target> targets() {
		List<Target> targets = new ArrayList<>();
		for (int service = 0; service < this.services; service++) {
			for (int i = 0; i < this.targetsPerService; i++) {
				int domain = i % FAILURE_DOMAIN_COUNT;
				targets.add(new Target(service(service) + "-" + i, service(service), "127.0.0.1:" + (40_000 + i),
						(domain % 2 == 0) ? "pdx" : "sea", "domain-" + domain, SLOTS_PER_TARGET, CONNECTIONS_PER_TARGET,
						false));
			}
		}
		return targets;
	}

	/**
	 * Returns the id of a service.
	 * @param number the number of the service, from 0
	 * @return the id, such as {@code service-0}
	 */
	public static String service(int number) {
		return "service-" + number;
	}

	/**
	 * Returns the id of an account.
	 * @param number the number of the account, from 0
	 * @return the id, such as {@code account-00000}
	 */
	public static String account(int number) {
		return "account-%05d".formatted(number);
	}

	/**
	 * Returns the key of an account in plain text.
	 * @param number the number of the account, from 0
	 * @return the key, such as {@code key-of-account-0}
	 */
	public static String key(int number) {
		return "key-of-account-" + number;
	}

}
