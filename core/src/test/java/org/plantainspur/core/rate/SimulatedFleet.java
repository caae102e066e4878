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
 * Simulated hosts that read one change log and have one virtual time.
 */
final class SimulatedFleet {

	private static final long FENCED_MILLIS = 3110;

	final SimulatedNetwork network;

	final Map<String, SimulatedHost> hosts = new TreeMap<>();

	private final Supplier<Double> clockRates;

	private final BiFunction<SimulatedHost, SimulatedHost.HostLookup, RateLimiter> limiters;

	private Configuration log = Configuration.empty();

	private int processCount;

	private long lastRemovalMillis;

	SimulatedFleet(SimulatedNetwork network, Supplier<Double> clockRates,
			BiFunction<SimulatedHost, SimulatedHost.HostLookup, RateLimiter> limiters) {
		this.network = network;
		this.clockRates = clockRates;
		this.limiters = limiters;
	}

	void append(Change change) {
		this.log = this.log.apply(new ChangeEntry(this.log.sequence() + 1, "c" + this.log.sequence(), change));
	}

	Configuration log() {
		return this.log;
	}

	void putAccount(ClientAccount account) {
		append(new Change.PutAccount(account));
	}

	/**
	 * Starts a process at a host, in place of the one that runs there.
	 * @param hostId the host's name
	 * @return the new process, which has joined the fleet
	 */
	SimulatedHost start(String hostId) {
		SimulatedHost previous = this.hosts.get(hostId);
		if (previous != null) {
			previous.alive = false;
		}
		Member member = Member.builder(hostId, "p" + this.processCount++).region(region(hostId)).build();
		SimulatedHost host = new SimulatedHost(member, this.network, this.clockRates.get(),
				(self) -> this.limiters.apply(self, this.hosts::get));
		this.hosts.put(hostId, host);
		host.view.advance(this.log);
		append(new Change.MemberJoined(member));
		return host;
	}

	static String region(String hostId) {
		return (hostId.hashCode() % 2 == 0) ? "pdx" : "sea";
	}

	// A process that lost its seat is fenced after 3,000 ms on its own clock, which may
	// be 1% slow. The margin is that of the membership coordinator.
	private void settleSeats() {
		Membership membership = this.log.membership();
		if (membership.departureSequence() != 0 && this.network.now() >= this.lastRemovalMillis + FENCED_MILLIS) {
			append(new Change.SeatsSettled(membership.seatSequence()));
		}
	}

	void remove(String hostId) {
		this.lastRemovalMillis = this.network.now();
		append(new Change.MembersRemoved(List.of(this.hosts.get(hostId).member)));
	}

	void rejoin(String hostId) {
		append(new Change.MemberJoined(this.hosts.get(hostId).member));
	}

	boolean isMember(String hostId) {
		return this.log.membership().member(hostId) != null;
	}

	void tick() {
		this.network.tick();
		settleSeats();
		long now = this.network.now();
		for (SimulatedHost host : this.hosts.values()) {
			host.tick();
			int phase = Math.floorMod(host.member.hostId().hashCode(), 200);
			if ((now + phase) % 200 == 0) {
				host.poll(() -> this.log);
			}
			if ((now + phase) % 500 == 0 && !host.frozen()) {
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
