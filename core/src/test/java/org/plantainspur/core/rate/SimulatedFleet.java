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
 * A handful of simulated hosts with one sequence of changes.
 */
final class SimulatedFleet {

	private static final long SETTLED_MILLIS = 3110;

	final SimulatedNetwork network;

	final Map<String, SimulatedHost> hosts = new TreeMap<>();

	private final Supplier<Double> clockRates;

	private final BiFunction<SimulatedHost, SimulatedHost.Directory, RateLimiter> limiters;

	private Configuration log = Configuration.empty();

	private int processes;

	private long departedMillis;

	SimulatedFleet(SimulatedNetwork network, Supplier<Double> clockRates,
			BiFunction<SimulatedHost, SimulatedHost.Directory, RateLimiter> limiters) {
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

	void put(ClientAccount account) {
		append(new Change.PutAccount(account));
	}

	/**
	 * Starts a process at a host in place of the one there.
	 * @param hostId the host
	 * @return the process
	 */
	SimulatedHost start(String hostId) {
		SimulatedHost old = this.hosts.get(hostId);
		if (old != null) {
			old.alive = false;
		}
		Member member = Member.builder(hostId, "p" + this.processes++).region(region(hostId)).build();
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

	// A process that lost its seat is fenced after 3,000 ms, counted on a clock that may
	// be 1% slow; the margin is the one of the coordinator of membership.
	private void settle() {
		Membership membership = this.log.membership();
		if (membership.departureSequence() != 0 && this.network.now() >= this.departedMillis + SETTLED_MILLIS) {
			append(new Change.SeatsSettled(membership.seatSequence()));
		}
	}

	void remove(String hostId) {
		this.departedMillis = this.network.now();
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
		settle();
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
				host.watchReleases();
			}
		}
	}

	void run(long millis) {
		for (long i = 0; i < millis; i++) {
			tick();
		}
	}

	SimulatedHost any(Random random) {
		return List.copyOf(this.hosts.values()).get(random.nextInt(this.hosts.size()));
	}

}
