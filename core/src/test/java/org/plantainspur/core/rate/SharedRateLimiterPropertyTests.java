package org.plantainspur.core.rate;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.RendezvousHostAssignment;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against hosts that together grant more than an account's burst plus its rate
 * times the interval, over any interval. Each property runs random schedules of message
 * delays and losses, cut links, paused processes, restarts and changes.
 */
class SharedRateLimiterPropertyTests {

	@Group
	class EqualClocks {

		// A new process does not know which shares its predecessor and the other hosts
		// held.
		@Property(seed = "20261204", tries = 100)
		void processesRestart(@ForAll long scheduleSeed) {
			new Schedule(new Random(scheduleSeed), 0, true).withRestarts().run(20_000);
		}

		// All amounts are whole numbers that are rounded down, so no tolerance is
		// needed.
		@Property(seed = "20261204", tries = 150)
		void membershipChanges(@ForAll long scheduleSeed) {
			new Schedule(new Random(scheduleSeed), 0, false).run(20_000);
		}

		@Property(seed = "20261204", tries = 100)
		void membershipAndLimitsChange(@ForAll long scheduleSeed) {
			new Schedule(new Random(scheduleSeed), 0, true).run(20_000);
		}

	}

	/**
	 * An account without requests for seconds has no state at the hosts that started
	 * meanwhile. When its shares start there depends on what these hosts recorded before
	 * its first request.
	 */
	@Group
	class QuietAccount {

		@Property(seed = "20261204", tries = 100)
		void membershipChanges(@ForAll long scheduleSeed) {
			new Schedule(new Random(scheduleSeed), 0, false).withQuietTimes().run(20_000);
		}

		@Property(seed = "20261204", tries = 150)
		void processesRestartAndLimitsChange(@ForAll long scheduleSeed) {
			new Schedule(new Random(scheduleSeed), 0, true).withQuietTimes().withRestarts().run(20_000);
		}

		@Property(seed = "20261204", tries = 100)
		void processesRestartWithDriftingClocks(@ForAll long scheduleSeed) {
			new Schedule(new Random(scheduleSeed), 0.01, false).withQuietTimes().withRestarts().run(20_000);
		}

	}

	@Group
	class DriftingClocks {

		// A clock that is 1% fast gains 1% more tokens per second, so the reference
		// bucket runs at the rate of the fastest clock. Readings are whole milliseconds,
		// so each of the five hosts may be one millisecond ahead.
		@Property(seed = "20261204", tries = 100)
		void membershipChanges(@ForAll long scheduleSeed) {
			new Schedule(new Random(scheduleSeed), 0.01, false).run(20_000);
		}

	}

	/**
	 * One random schedule over five hosts with callers that take every token they can
	 * get.
	 */
	private static final class Schedule {

		private static final int HOSTS = 5;

		private static final String ACCOUNT = "harbor-clinic";

		/** The time by which changed limits are in force at every host that may serve. */
		private static final long CHANGE_IN_FORCE_MILLIS = 5000;

		private final Random random;

		private final boolean changeLimits;

		private final SimulatedFleet fleet;

		private final ReferenceBucket reference;

		private ClientAccount account;

		private double demandFactor = 1;

		private boolean restarts;

		private boolean quietTimes;

		private final Map<String, Long> quietUntilMillis = new HashMap<>();

		private long limitsInForceMillis = -1;

		Schedule(Random random, double drift, boolean changeLimits) {
			this.random = random;
			this.changeLimits = changeLimits;
			this.account = randomAccount();
			this.fleet = new SimulatedFleet(new SimulatedNetwork(random, 1, 120, 0.05),
					() -> 1 + drift * (2 * random.nextDouble() - 1), SimulatedHost::sharedRateLimiter);
			this.fleet.putAccount(this.account);
			for (int i = 0; i < HOSTS; i++) {
				this.fleet.start("host-" + i);
			}
			this.reference = new ReferenceBucket(this.account, 1 + drift, (drift > 0) ? HOSTS : 0);
		}

		private ClientAccount randomAccount() {
			double[] bursts = { 2, 6, 9, 13, 30, 100 };
			return new ClientAccount(ACCOUNT, 1 + this.random.nextInt(200), bursts[this.random.nextInt(bursts.length)]);
		}

		Schedule withRestarts() {
			this.restarts = true;
			return this;
		}

		Schedule withQuietTimes() {
			this.quietTimes = true;
			return this;
		}

		void run(long millis) {
			for (long now = 0; now < millis; now++) {
				this.fleet.tick();
				if (this.random.nextInt(300) == 0) {
					this.demandFactor = (this.random.nextInt(3) == 0) ? 0 : this.random.nextDouble();
				}
				if (this.random.nextInt(1500) == 0) {
					injectFault();
				}
				if (this.restarts && this.random.nextInt(700) == 0) {
					this.fleet.start(randomHome().member.hostId());
				}
				if (this.quietTimes && this.random.nextInt(1000) == 0) {
					startQuietTime(now);
				}
				if (now == this.limitsInForceMillis) {
					this.reference.setLimits(this.account);
				}
				sendRequests();
			}
		}

		// Stops the demand at one host or at all hosts, long enough for a gained share
		// to start before the next request.
		private void startQuietTime(long now) {
			long until = now + 500 + this.random.nextInt(3000);
			if (this.random.nextBoolean()) {
				this.quietUntilMillis.put(randomHome().member.hostId(), until);
			}
			else {
				this.fleet.hosts.keySet().forEach((host) -> this.quietUntilMillis.put(host, until));
			}
		}

		private void sendRequests() {
			while (this.random.nextDouble() < this.demandFactor * 0.8) {
				SimulatedHost host = this.fleet.randomHost(this.random);
				boolean quiet = this.quietUntilMillis.getOrDefault(host.member.hostId(), 0L) > this.fleet.network.now();
				if (!quiet && host.tryTake(ACCOUNT)) {
					this.reference.recordGrant(this.fleet.network.now());
				}
			}
		}

		private void injectFault() {
			SimulatedHost host = this.random.nextBoolean() ? randomHome() : this.fleet.randomHost(this.random);
			String id = host.member.hostId();
			switch (this.random.nextInt(this.changeLimits ? 10 : 9)) {
				case 0 -> host.pause(500 + this.random.nextInt(6000));
				case 1 -> this.fleet.network.cut(id, "platform", true);
				case 2 -> this.fleet.network.cut(id, this.fleet.randomHost(this.random).member.hostId(), true);
				case 3 -> this.fleet.network.cut("platform", id, true);
				case 4 -> this.fleet.network.removeCuts();
				case 5 -> toggleMembership(host, id);
				case 6 -> this.fleet.start(id);
				case 7 -> resign(host, id);
				case 8 -> cutOffAndRemove(id);
				default -> changeLimits();
			}
		}

		private SimulatedHost randomHome() {
			List<Member> homes = new RendezvousHostAssignment().homeHosts(this.account,
					this.fleet.configuration().membership());
			return homes.isEmpty() ? this.fleet.randomHost(this.random)
					: this.fleet.hosts.get(homes.get(this.random.nextInt(homes.size())).hostId());
		}

		// The removed host keeps its old shares until it is fenced, while others take
		// over.
		private void cutOffAndRemove(String id) {
			this.fleet.network.cut("platform", id, true);
			if (this.fleet.isMember(id)) {
				this.fleet.remove(id);
			}
		}

		private void toggleMembership(SimulatedHost host, String id) {
			if (this.fleet.isMember(id)) {
				this.fleet.remove(id);
			}
			else if (!host.resigned) {
				this.fleet.rejoin(id);
			}
		}

		private void resign(SimulatedHost host, String id) {
			host.run(() -> {
				if (host.limiter instanceof SharedRateLimiter limiter) {
					limiter.resign();
				}
				host.resigned = true;
				this.fleet.append(new Change.MemberResigned(id, host.member.processId()));
			});
		}

		private void changeLimits() {
			ClientAccount before = this.account;
			this.account = randomAccount();
			this.fleet.putAccount(this.account);
			this.reference.widen(before, this.account);
			this.limitsInForceMillis = this.fleet.network.now() + CHANGE_IN_FORCE_MILLIS;
		}

	}

	/**
	 * One bucket with the limits of the whole account. The grants stay within the limits
	 * over every interval if and only if this bucket never lacks a token.
	 */
	private static final class ReferenceBucket {

		private final double clockRate;

		private final int hostsWithClockAhead;

		private double rate;

		private double burst;

		private double level;

		private long atMillis;

		private int granted;

		ReferenceBucket(ClientAccount account, double clockRate, int hostsWithClockAhead) {
			this.clockRate = clockRate;
			this.hostsWithClockAhead = hostsWithClockAhead;
			this.rate = account.ratePerSecond();
			this.burst = account.burst();
			this.level = this.burst;
		}

		// Until a change is in force everywhere, the larger of the old and new limits
		// apply.
		void widen(ClientAccount before, ClientAccount after) {
			double wider = Math.max(this.burst, Math.max(before.burst(), after.burst()));
			this.level += wider - this.burst;
			this.burst = wider;
			this.rate = Math.max(this.rate, Math.max(before.ratePerSecond(), after.ratePerSecond()));
		}

		void setLimits(ClientAccount account) {
			this.rate = account.ratePerSecond();
			this.burst = account.burst();
			this.level = Math.min(this.level, this.burst);
		}

		void recordGrant(long now) {
			this.level = Math.min(this.burst, this.level + (now - this.atMillis) * this.rate * this.clockRate / 1000);
			this.atMillis = now;
			this.level -= 1;
			this.granted++;
			double tolerance = this.hostsWithClockAhead * this.rate / 1000;
			assertThat(this.level)
				.as("tokens left after grant %d at %d ms, rate %s, burst %s", this.granted, now, this.rate, this.burst)
				.isGreaterThanOrEqualTo(-tolerance - 1e-6);
		}

	}

}
