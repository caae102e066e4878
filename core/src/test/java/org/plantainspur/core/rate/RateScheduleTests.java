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
import org.plantainspur.core.membership.RendezvousHomeHosts;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a schedule of delays, losses, cuts, pauses, restarts and changes in
 * which the hosts together grant more than an account's burst plus its rate times the
 * interval, over any interval.
 */
class RateScheduleTests {

	@Group
	class EqualClocks {

		// A new process does not know what its predecessors and the other hosts held.
		@Property(seed = "20261204", tries = 100)
		void processesStartAgain(@ForAll long scheduleSeed) {
			new Schedule(new Random(scheduleSeed), 0, true).startingAgain().run(20_000);
		}

		// All amounts are whole numbers rounded down, so there is no tolerance.
		@Property(seed = "20261204", tries = 150)
		void membershipChanges(@ForAll long scheduleSeed) {
			new Schedule(new Random(scheduleSeed), 0, false).run(20_000);
		}

		@Property(seed = "20261204", tries = 100)
		void limitsChangeToo(@ForAll long scheduleSeed) {
			new Schedule(new Random(scheduleSeed), 0, true).run(20_000);
		}

	}

	/**
	 * An account without requests for seconds has no state at the hosts that started
	 * meanwhile, so its shares there start by what was seen before the first request.
	 */
	@Group
	class QuietAccount {

		@Property(seed = "20261204", tries = 100)
		void membershipChanges(@ForAll long scheduleSeed) {
			new Schedule(new Random(scheduleSeed), 0, false).withQuietTimes().run(20_000);
		}

		@Property(seed = "20261204", tries = 150)
		void processesStartAgainAndLimitsChange(@ForAll long scheduleSeed) {
			new Schedule(new Random(scheduleSeed), 0, true).withQuietTimes().startingAgain().run(20_000);
		}

		@Property(seed = "20261204", tries = 100)
		void processesStartAgainWithDriftingClocks(@ForAll long scheduleSeed) {
			new Schedule(new Random(scheduleSeed), 0.01, false).withQuietTimes().startingAgain().run(20_000);
		}

	}

	@Group
	class DriftingClocks {

		// A clock that is 1% fast grants 1% more in a second of the reference clock,
		// which
		// runs at the rate of the fastest. Readings are whole milliseconds, so each of
		// the
		// five hosts may be one millisecond ahead.
		@Property(seed = "20261204", tries = 100)
		void membershipChanges(@ForAll long scheduleSeed) {
			new Schedule(new Random(scheduleSeed), 0.01, false).run(20_000);
		}

	}

	/**
	 * One random schedule over five hosts with a caller that takes whatever it gets.
	 */
	private static final class Schedule {

		private static final int HOSTS = 5;

		private static final String ACCOUNT = "harbor-clinic";

		private static final long CHANGE_TAKES_EFFECT_MILLIS = 5000;

		private final Random random;

		private final boolean changeLimits;

		private final SimulatedFleet fleet;

		private final GrantLedger ledger;

		private ClientAccount account;

		private double greed = 1;

		private boolean startingAgain;

		private boolean quietTimes;

		private final Map<String, Long> quietUntil = new HashMap<>();

		private long limitsSettleAt = -1;

		Schedule(Random random, double drift, boolean changeLimits) {
			this.random = random;
			this.changeLimits = changeLimits;
			this.account = randomAccount();
			this.fleet = new SimulatedFleet(new SimulatedNetwork(random, 1, 120, 0.05),
					() -> 1 + drift * (2 * random.nextDouble() - 1), SimulatedHost::shared);
			this.fleet.put(this.account);
			for (int i = 0; i < HOSTS; i++) {
				this.fleet.start("host-" + i);
			}
			this.ledger = new GrantLedger(this.account, 1 + drift, (drift > 0) ? HOSTS : 0);
		}

		private ClientAccount randomAccount() {
			double[] bursts = { 2, 6, 9, 13, 30, 100 };
			return new ClientAccount(ACCOUNT, 1 + this.random.nextInt(200), bursts[this.random.nextInt(bursts.length)]);
		}

		Schedule startingAgain() {
			this.startingAgain = true;
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
					this.greed = (this.random.nextInt(3) == 0) ? 0 : this.random.nextDouble();
				}
				if (this.random.nextInt(1500) == 0) {
					disturb();
				}
				if (this.startingAgain && this.random.nextInt(700) == 0) {
					this.fleet.start(home().member.hostId());
				}
				if (this.quietTimes && this.random.nextInt(1000) == 0) {
					startQuietTime(now);
				}
				if (now == this.limitsSettleAt) {
					this.ledger.limits(this.account);
				}
				demand();
			}
		}

		// Long enough for a share to start before the first request, at one host or at
		// all.
		private void startQuietTime(long now) {
			long until = now + 500 + this.random.nextInt(3000);
			if (this.random.nextBoolean()) {
				this.quietUntil.put(home().member.hostId(), until);
			}
			else {
				this.fleet.hosts.keySet().forEach((host) -> this.quietUntil.put(host, until));
			}
		}

		private void demand() {
			while (this.random.nextDouble() < this.greed * 0.8) {
				SimulatedHost host = this.fleet.any(this.random);
				boolean quiet = this.quietUntil.getOrDefault(host.member.hostId(), 0L) > this.fleet.network.now();
				if (!quiet && host.take(ACCOUNT)) {
					this.ledger.granted(this.fleet.network.now());
				}
			}
		}

		private void disturb() {
			SimulatedHost host = this.random.nextBoolean() ? home() : this.fleet.any(this.random);
			String id = host.member.hostId();
			switch (this.random.nextInt(this.changeLimits ? 10 : 9)) {
				case 0 -> host.freeze(500 + this.random.nextInt(6000));
				case 1 -> this.fleet.network.cut(id, "platform", true);
				case 2 -> this.fleet.network.cut(id, this.fleet.any(this.random).member.hostId(), true);
				case 3 -> this.fleet.network.cut("platform", id, true);
				case 4 -> this.fleet.network.heal();
				case 5 -> moveMember(host, id);
				case 6 -> this.fleet.start(id);
				case 7 -> resign(host, id);
				case 8 -> isolate(id);
				default -> changeLimits();
			}
		}

		private SimulatedHost home() {
			List<Member> homes = new RendezvousHomeHosts().homes(this.account, this.fleet.log().membership());
			return homes.isEmpty() ? this.fleet.any(this.random)
					: this.fleet.hosts.get(homes.get(this.random.nextInt(homes.size())).hostId());
		}

		// The home goes on in the old state until it is fenced, while others take over.
		private void isolate(String id) {
			this.fleet.network.cut("platform", id, true);
			if (this.fleet.isMember(id)) {
				this.fleet.remove(id);
			}
		}

		private void moveMember(SimulatedHost host, String id) {
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
			this.fleet.put(this.account);
			this.ledger.widen(before, this.account);
			this.limitsSettleAt = this.fleet.network.now() + CHANGE_TAKES_EFFECT_MILLIS;
		}

	}

	/**
	 * A bucket with the whole account's limits. The grants keep the bound over every
	 * interval exactly if this bucket never lacks a token.
	 */
	private static final class GrantLedger {

		private final double clockRate;

		private final int hostsAhead;

		private double rate;

		private double burst;

		private double level;

		private long atMillis;

		private int granted;

		GrantLedger(ClientAccount account, double clockRate, int hostsAhead) {
			this.clockRate = clockRate;
			this.hostsAhead = hostsAhead;
			this.rate = account.ratePerSecond();
			this.burst = account.burst();
			this.level = this.burst;
		}

		// While a change spreads, the larger of the old and the new limits holds.
		void widen(ClientAccount before, ClientAccount after) {
			double wider = Math.max(this.burst, Math.max(before.burst(), after.burst()));
			this.level += wider - this.burst;
			this.burst = wider;
			this.rate = Math.max(this.rate, Math.max(before.ratePerSecond(), after.ratePerSecond()));
		}

		void limits(ClientAccount account) {
			this.rate = account.ratePerSecond();
			this.burst = account.burst();
			this.level = Math.min(this.level, this.burst);
		}

		void granted(long now) {
			this.level = Math.min(this.burst, this.level + (now - this.atMillis) * this.rate * this.clockRate / 1000);
			this.atMillis = now;
			this.level -= 1;
			this.granted++;
			double ahead = this.hostsAhead * this.rate / 1000;
			assertThat(this.level)
				.as("tokens left after grant %d at %d ms, rate %s, burst %s", this.granted, now, this.rate, this.burst)
				.isGreaterThanOrEqualTo(-ahead - 1e-6);
		}

	}

}
