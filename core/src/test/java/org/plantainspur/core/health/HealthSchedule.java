package org.plantainspur.core.health;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.routing.Target;
import org.plantainspur.core.time.HandClock;

/**
 * A random schedule of a handful of hosts that report to coordinators, with lost and late
 * messages, drifting clocks, and coordinators that change before everyone knows.
 */
final class HealthSchedule {

	static final double FLOOR = 0.7;

	private static final int STEP_MILLIS = 100;

	private static final int HOSTS = 4;

	private final Random random;

	private final List<Target> targets;

	private final Membership membership = HealthFixtures.members(HOSTS);

	private final List<Host> hosts = new ArrayList<>();

	private final List<Integer> coordinators = new ArrayList<>();

	private final List<Long> changedAt = new ArrayList<>();

	private final List<Delivery> inFlight = new ArrayList<>();

	private final double changeRate;

	private final double lossRate;

	private long now;

	HealthSchedule(long seed) {
		this.random = new Random(seed);
		this.targets = randomTargets(this.random);
		this.changeRate = this.random.nextDouble() * 0.03;
		this.lossRate = this.random.nextDouble() * 0.4;
		this.coordinators.add(this.random.nextInt(HOSTS));
		this.changedAt.add(0L);
		for (int i = 0; i < HOSTS; i++) {
			this.hosts.add(new Host(i));
		}
	}

	static List<Target> randomTargets(Random random) {
		List<Target> targets = new ArrayList<>();
		int count = 1 + random.nextInt(14);
		for (int i = 0; i < count; i++) {
			targets.add(HealthFixtures.target(i, 1 + random.nextInt(4)));
		}
		return targets;
	}

	List<Target> targets() {
		return this.targets;
	}

	List<HealthView> views() {
		return this.hosts.stream().map((host) -> host.view).toList();
	}

	void step() {
		this.now += STEP_MILLIS;
		this.hosts.forEach(Host::advance);
		if (this.random.nextDouble() < this.changeRate) {
			this.coordinators.add(this.random.nextInt(HOSTS));
			this.changedAt.add(this.now);
		}
		List<Delivery> due = this.inFlight.stream().filter((delivery) -> delivery.at() <= this.now).toList();
		this.inFlight.removeAll(due);
		due.forEach((delivery) -> delivery.action().run());
		this.hosts.forEach(Host::act);
	}

	private void send(Runnable action) {
		if (this.random.nextDouble() >= this.lossRate) {
			int delay = (this.random.nextInt(10) == 0) ? 4000 : 300;
			this.inFlight.add(new Delivery(this.now + this.random.nextInt(delay), action));
		}
	}

	private record Delivery(long at, Runnable action) {
	}

	/** Finds random targets sick for a while. */
	private final class RandomJudge implements HealthJudge {

		private final Set<String> sick = new HashSet<>();

		@Override
		public void observe(Observation observation) {
			String id = observation.target().id();
			if (HealthSchedule.this.random.nextInt(20) == 0 && !this.sick.remove(id)) {
				this.sick.add(id);
			}
		}

		@Override
		public Assessment assess(String targetId) {
			return this.sick.contains(targetId)
					? new Assessment(true, 1 + HealthSchedule.this.random.nextDouble(), Set.of(), "random")
					: Assessment.HEALTHY;
		}

		@Override
		public void readmitted(String targetId) {
			this.sick.remove(targetId);
		}

		@Override
		public void retain(Collection<String> targetIds) {
			this.sick.retainAll(targetIds);
		}

	}

	/** A process that is a host and may be the coordinator. */
	private final class Host {

		private final int number;

		private final double rate;

		private final HandClock clock = new HandClock();

		private final HealthView view = new HealthView(this.clock);

		private final HealthCoordinator coordinator = new HealthCoordinator(HealthFixtures.SERVICE, this.clock,
				new RandomJudge(), () -> HealthSchedule.this.targets, () -> FLOOR, this::current);

		private int sequence = -1;

		private double due;

		Host(int number) {
			this.number = number;
			this.rate = 1 + (HealthSchedule.this.random.nextDouble() - 0.5) * 0.019;
		}

		void advance() {
			this.due += STEP_MILLIS * this.rate;
			long whole = (long) this.due;
			this.clock.advance(whole);
			this.due -= whole;
		}

		void act() {
			int newest = HealthSchedule.this.coordinators.size() - 1;
			while (this.sequence < newest && (this.sequence < 0 || HealthSchedule.this.random.nextInt(12) == 0)) {
				this.sequence++;
				this.coordinator.follow(this.sequence, HealthSchedule.this.membership,
						HealthSchedule.this.coordinators.get(this.sequence) == this.number);
			}
			if (HealthSchedule.this.random.nextInt(4) == 0) {
				report();
			}
		}

		// A host that has missed a change for the fencing time is not current.
		private boolean current() {
			int next = this.sequence + 1;
			return next >= HealthSchedule.this.coordinators.size()
					|| HealthSchedule.this.now - HealthSchedule.this.changedAt.get(next) < Settlement.FENCING_MILLIS;
		}

		private void report() {
			int to = HealthSchedule.this.coordinators.get(this.sequence);
			HealthView.ReportTicket ticket = this.view.reporting(HealthFixtures.SERVICE, "p" + to);
			List<PeerMessage.TargetEvidence> evidence = HealthSchedule.this.targets.stream()
				.map((target) -> HealthFixtures.evidence(target.id()))
				.toList();
			PeerMessage.Report report = new PeerMessage.Report("h" + this.number, "p" + this.number, this.sequence,
					HealthFixtures.SERVICE, evidence, this.view.ejectedHeld(HealthFixtures.SERVICE));
			send(() -> {
				PeerMessage.Verdicts verdicts = HealthSchedule.this.hosts.get(to).coordinator.report(report);
				send(() -> this.view.apply(ticket, verdicts));
			});
		}

	}

}
