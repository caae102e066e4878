package org.plantainspur.core.rate;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Supplier;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;

/**
 * Simulated hosts that read the same change log and run on one virtual time.
 */
final class SimulatedFleet {

	/**
	 * The time after a removal by which the removed process is fenced: 3,000 ms on its
	 * own clock, which may be 1% slow, and the margin that the membership coordinator
	 * adds.
	 */
	private static final long FENCED_AFTER_MILLIS = 3110;

	final SimulatedNetwork network;

	final Map<String, SimulatedHost> hosts = new TreeMap<>();

	private final Supplier<Double> clockRates;

	private final BiFunction<SimulatedHost, SimulatedHost.HostLookup, RateLimiter> limiterFactory;

	/** The configuration after all changes in the log. */
	private Configuration configuration = Configuration.empty();

	private int processCount;

	private long lastRemovalMillis;

	SimulatedFleet(SimulatedNetwork network, Supplier<Double> clockRates,
			BiFunction<SimulatedHost, SimulatedHost.HostLookup, RateLimiter> limiterFactory) {
		this.network = network;
		this.clockRates = clockRates;
		this.limiterFactory = limiterFactory;
	}

	void append(Change change) {
		this.configuration = this.configuration
			.apply(new ChangeEntry(this.configuration.sequence() + 1, "c" + this.configuration.sequence(), change));
	}

	Configuration configuration() {
		return this.configuration;
	}

	void putAccount(ClientAccount account) {
		append(new Change.PutAccount(account));
	}

	/**
	 * Starts a process at a host, in place of the one that runs there.
	 * @param hostId the host's id
	 * @return the new process, which has joined the fleet
	 */
	SimulatedHost start(String hostId) {
		SimulatedHost previous = this.hosts.get(hostId);
		if (previous != null) {
			previous.alive = false;
		}
		Member member = Member.builder(hostId, "p" + this.processCount++).region(region(hostId)).build();
		SimulatedHost host = new SimulatedHost(member, this.network, this.clockRates.get(),
				(self) -> this.limiterFactory.apply(self, this.hosts::get));
		this.hosts.put(hostId, host);
		host.view.advance(this.configuration);
		append(new Change.MemberJoined(member));
		return host;
	}

	static String region(String hostId) {
		return (hostId.hashCode() % 2 == 0) ? "pdx" : "sea";
	}

	// Records that all removed processes are fenced, as the membership coordinator does.
	private void settleSeats() {
		Membership membership = this.configuration.membership();
		if (membership.departureSequence() != 0 && this.network.now() >= this.lastRemovalMillis + FENCED_AFTER_MILLIS) {
			append(new Change.SeatsSettled(membership.seatSequence()));
		}
	}

	void remove(String hostId) {
		this.lastRemovalMillis = this.network.now();
		append(new Change.MembersRemoved(List.of(this.hosts.get(hostId).member)));
	}

	// The same process joins again, with the state that it has.
	void rejoin(String hostId) {
		append(new Change.MemberJoined(this.hosts.get(hostId).member));
	}

	boolean isMember(String hostId) {
		return this.configuration.membership().member(hostId) != null;
	}

	void tick() {
		this.network.tick();
		settleSeats();
		long now = this.network.now();
		for (SimulatedHost host : this.hosts.values()) {
			host.tick();
			// Spreads the periodic tasks of the hosts over time.
			int phase = Math.floorMod(host.member.hostId().hashCode(), 200);
			if ((now + phase) % 200 == 0) {
				host.poll(() -> this.configuration);
			}
			if ((now + phase) % 500 == 0 && !host.paused()) {
				host.heartbeat(this.hosts::get, this.hosts.keySet());
			}
			if ((now + phase) % 100 == 0) {
				host.pollReleases();
			}
		}
	}

	void run(long millis) {
		for (long i = 0; i < millis; i++) {
			tick();
		}
	}

	SimulatedHost randomHost(Random random) {
		return List.copyOf(this.hosts.values()).get(random.nextInt(this.hosts.size()));
	}

}
