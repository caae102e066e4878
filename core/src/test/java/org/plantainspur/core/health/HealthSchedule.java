package org.plantainspur.core.health;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.currency.FencingByAge;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.routing.Target;
import org.plantainspur.core.time.ManualClock;

/**
 * A random schedule of a handful of hosts that report to coordinators, with lost and late
 * messages, one-way cuts, pauses, drifting clocks, coordinators that change before
 * everyone knows, processes that restart, members that are removed while they live and
 * join again, sequence numbers that a host skips, and target lists that reach each host
 * at a different time.
 */
final class HealthSchedule {

	static final double FLOOR = 0.7;

	/** A host that is not paused has a new target list after this time. */
	static final long LIST_DELAY_MILLIS = 2000;

	private static final int STEP_MILLIS = 100;

	private static final int HOSTS = 4;

	private static final int MOST_TARGETS = 20;

	private static final int LONGEST_PAUSE_MILLIS = 9000;

	private static final int LONGEST_CUT_MILLIS = 9000;

	private final Random random;

	private final Rates rates;

	private final List<Sequenced> sequence = new ArrayList<>();

	private final List<Listed> lists = new ArrayList<>();

	private final List<Process> processes = new ArrayList<>();

	private final List<Delivery> inFlight = new ArrayList<>();

	private final List<Delivery> planned = new ArrayList<>();

	private final long[][] cutUntil = new long[HOSTS][HOSTS];

	/** The failures among ten outcomes, by target. */
	private final Map<String, Integer> failures = new HashMap<>();

	private int started;

	private int nextTarget;

	private int coordinatorRestarts;

	private int rivalSteps;

	private long now;

	HealthSchedule(long seed, boolean listChanges) {
		this.random = new Random(seed);
		List<Target> targets = randomTargets(this.random);
		this.nextTarget = targets.size();
		this.lists.add(new Listed(targets, 0));
		this.rates = Rates.draw(this.random, listChanges);
		Membership members = Membership.empty();
		for (int i = 0; i < HOSTS; i++) {
			Process process = new Process(i);
			this.processes.add(process);
			members = members.apply(new Change.MemberJoined(process.member), 0);
		}
		this.sequence.add(new Sequenced(members, members.members().iterator().next(), 0));
	}

	static List<Target> randomTargets(Random random) {
		List<Target> targets = new ArrayList<>();
		int count = 1 + random.nextInt(14);
		for (int i = 0; i < count; i++) {
			targets.add(HealthFixtures.target(i, 1 + random.nextInt(4)));
		}
		return targets;
	}

	private static List<Target> staying(List<Target> targets) {
		return targets.stream().filter((target) -> !target.leaving()).toList();
	}

	private static int budget(List<Target> targets) {
		return FloorGuard.slots(targets) - FloorGuard.floorSlots(targets, FLOOR);
	}

	/** Targets that are listed now and not leaving. */
	List<Target> targets() {
		return staying(this.lists.get(this.lists.size() - 1).targets());
	}

	int budget() {
		return budget(targets());
	}

	/** Targets that some living process holds ejected, paused ones included. */
	Set<String> held() {
		Set<String> held = new HashSet<>();
		this.processes.forEach((process) -> held.addAll(process.view.ejectedHeld(HealthFixtures.SERVICE)));
		return held;
	}

	/**
	 * Targets that some running process gives no work, after the check of the floor at
	 * the point of use.
	 */
	Set<String> unused() {
		Set<String> unused = new HashSet<>();
		this.processes.stream().filter(Process::running).forEach((process) -> unused.addAll(process.unused()));
		return unused;
	}

	/** The largest budget that a running process has by the list that it knows. */
	int largestKnownBudget() {
		return this.processes.stream()
			.filter(Process::running)
			.mapToInt((process) -> budget(process.staying()))
			.max()
			.orElse(0);
	}

	/** The time since the list changed or a paused process, with an old list, resumed. */
	long sinceListOrResumption() {
		long last = this.lists.get(this.lists.size() - 1).at();
		for (Process process : this.processes) {
			last = process.running() ? Math.max(last, process.pausedUntil) : last;
		}
		return this.now - last;
	}

	/** Processes that restarted while they were the coordinator, so far. */
	int coordinatorRestarts() {
		return this.coordinatorRestarts;
	}

	/** Steps in which more than one running process took itself for the coordinator. */
	int rivalSteps() {
		return this.rivalSteps;
	}

	void step() {
		this.now += STEP_MILLIS;
		this.processes.forEach(Process::advance);
		changeFleet();
		changeList();
		if (happens(0.1)) {
			this.failures.put(any(this.lists.get(this.lists.size() - 1).targets()).id(), this.random.nextInt(11));
		}
		run(this.planned);
		run(this.inFlight);
		List.copyOf(this.processes).forEach(Process::act);
		long rivals = this.processes.stream()
			.filter((process) -> process.running() && process.responsible() && process.current())
			.count();
		this.rivalSteps += (rivals > 1) ? 1 : 0;
	}

	private boolean happens(double rate) {
		return this.random.nextDouble() < rate;
	}

	private <T> T any(List<T> all) {
		return all.get(this.random.nextInt(all.size()));
	}

	private void run(List<Delivery> deliveries) {
		List<Delivery> due = deliveries.stream()
			.filter((delivery) -> delivery.at() <= this.now && delivery.to().running())
			.toList();
		deliveries.removeAll(due);
		due.forEach((delivery) -> delivery.action().run());
	}

	private void changeFleet() {
		if (happens(this.rates.change())) {
			publish(newest().members(), any(List.copyOf(newest().members().members())));
		}
		if (happens(this.rates.restart())) {
			restart(any(this.processes));
		}
		if (happens(this.rates.removal())) {
			remove(any(this.processes));
		}
		if (happens(this.rates.pause())) {
			any(this.processes).pausedUntil = this.now + this.random.nextInt(LONGEST_PAUSE_MILLIS);
		}
		if (happens(this.rates.cut())) {
			this.cutUntil[this.random.nextInt(HOSTS)][this.random.nextInt(HOSTS)] = this.now
					+ this.random.nextInt(LONGEST_CUT_MILLIS);
		}
	}

	private Sequenced newest() {
		return this.sequence.get(this.sequence.size() - 1);
	}

	// The service stays at its host, if that is still a member, as with the real hash.
	private void publish(Membership members) {
		Member same = members.member(newest().coordinator().hostId());
		publish(members, (same != null) ? same : any(List.copyOf(members.members())));
	}

	private void publish(Membership members, Member coordinator) {
		this.sequence.add(new Sequenced(members, coordinator, this.now));
	}

	private void restart(Process old) {
		this.coordinatorRestarts += newest().coordinator().equals(old.member) ? 1 : 0;
		this.processes.remove(old);
		Process successor = new Process(old.host);
		successor.sequence = this.sequence.size() - 1;
		successor.follow();
		this.processes.add(successor);
		planJoin(successor, 1500);
	}

	private void remove(Process process) {
		Member present = newest().members().member(process.member.hostId());
		if (!process.member.equals(present) || newest().members().size() < 3) {
			return;
		}
		publish(newest().members().apply(new Change.MembersRemoved(List.of(present)), this.sequence.size()));
		planJoin(process, 12_000);
	}

	private void planJoin(Process process, int latest) {
		this.planned.add(new Delivery(this.now + this.random.nextInt(latest), process, () -> {
			if (this.processes.contains(process)) {
				publish(newest().members().apply(new Change.MemberJoined(process.member), this.sequence.size()));
			}
		}));
	}

	private void changeList() {
		if (!happens(this.rates.list())) {
			return;
		}
		List<Target> targets = new ArrayList<>(this.lists.get(this.lists.size() - 1).targets());
		int changes = 1 + this.random.nextInt(3);
		for (int i = 0; i < changes; i++) {
			int at = this.random.nextInt(targets.size());
			Target target = targets.get(at);
			switch (this.random.nextInt(4)) {
				case 0 -> targets.add(relistedOrNew(targets));
				case 1 -> targets.set(at, new Target(target.id(), target.service(), target.address(), target.region(),
						target.failureDomain(), target.slots(), target.connections(), !target.leaving()));
				default -> {
					if (targets.size() > 1) {
						targets.remove(at);
					}
				}
			}
		}
		if (targets.size() <= MOST_TARGETS) {
			this.lists.add(new Listed(List.copyOf(targets), this.now));
		}
	}

	// A target that was removed may come back while verdicts on it are still held.
	private Target relistedOrNew(List<Target> targets) {
		Set<String> present = new HashSet<>();
		targets.forEach((target) -> present.add(target.id()));
		List<Target> gone = this.lists.stream()
			.flatMap((listed) -> listed.targets().stream())
			.filter((target) -> !present.contains(target.id()))
			.toList();
		if (!gone.isEmpty() && this.random.nextBoolean()) {
			return any(gone);
		}
		this.nextTarget++;
		return HealthFixtures.target(this.nextTarget, 1 + this.random.nextInt(4));
	}

	private void send(int from, Process to, Runnable action) {
		boolean cut = this.cutUntil[from][to.host] > this.now;
		if (!cut && !happens(this.rates.loss())) {
			int delay = (this.random.nextInt(10) == 0) ? 4000 : 300;
			this.inFlight.add(new Delivery(this.now + this.random.nextInt(delay), to, action));
		}
	}

	private record Sequenced(Membership members, Member coordinator, long at) {
	}

	private record Listed(List<Target> targets, long at) {
	}

	private record Delivery(long at, Process to, Runnable action) {
	}

	/** How often each event happens in a step, drawn once for each schedule. */
	private record Rates(double loss, double change, double restart, double removal, double pause, double cut,
			double skip, double list) {

		static Rates draw(Random random, boolean listChanges) {
			return new Rates(random.nextDouble() * 0.4, rate(random, 0.03), rate(random, 0.02), rate(random, 0.02),
					rate(random, 0.02), rate(random, 0.03), rate(random, 0.3), listChanges ? rate(random, 0.04) : 0);
		}

		// A third of the schedules are free of each kind of event, so that the others
		// have time to develop.
		private static double rate(Random random, double largest) {
			return (random.nextInt(3) == 0) ? 0 : random.nextDouble() * largest;
		}

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
	private final class Process {

		private final int host;

		private final Member member;

		private final double clockRate;

		private final ManualClock clock = new ManualClock();

		private final HealthView view = new HealthView(this.clock);

		private final HealthCoordinator coordinator = new HealthCoordinator(HealthFixtures.SERVICE, this.clock,
				new RandomJudge(), this::listed, () -> FLOOR, this::current);

		private int sequence = -1;

		private int list;

		private long pausedUntil;

		private double due;

		Process(int host) {
			this.host = host;
			this.member = HealthFixtures.member(host, HealthSchedule.this.started++);
			this.clockRate = 1 + (HealthSchedule.this.random.nextDouble() - 0.5) * 0.019;
			this.list = HealthSchedule.this.lists.size() - 1;
		}

		boolean running() {
			return this.pausedUntil <= HealthSchedule.this.now;
		}

		boolean responsible() {
			return this.sequence >= 0
					&& HealthSchedule.this.sequence.get(this.sequence).coordinator().equals(this.member);
		}

		private List<Target> listed() {
			return HealthSchedule.this.lists.get(this.list).targets();
		}

		// The rule of the choosers of targets.
		private List<Target> staying() {
			HealthView.ServiceHealth held = this.view.service(HealthFixtures.SERVICE);
			return HealthSchedule.staying(listed())
				.stream()
				.filter((target) -> !held.leaving(target.id(), this.clock.millis()))
				.toList();
		}

		private Set<String> unused() {
			Set<String> unused = new HashSet<>();
			staying().forEach((target) -> unused.add(target.id()));
			FloorGuard.usable(staying(), this.view.service(HealthFixtures.SERVICE), FLOOR, this.clock.millis())
				.forEach((usable) -> unused.remove(usable.target().id()));
			return unused;
		}

		void advance() {
			this.due += STEP_MILLIS * this.clockRate;
			long whole = (long) this.due;
			this.clock.advance(whole);
			this.due -= whole;
		}

		void act() {
			if (!running()) {
				return;
			}
			int newest = HealthSchedule.this.sequence.size() - 1;
			while (this.sequence < newest && (this.sequence < 0 || HealthSchedule.this.random.nextInt(12) == 0)) {
				this.sequence = happens(HealthSchedule.this.rates.skip()) ? newest : this.sequence + 1;
				follow();
			}
			readList();
			if (HealthSchedule.this.random.nextInt(4) == 0) {
				report();
			}
		}

		private void follow() {
			this.coordinator.follow(this.sequence, HealthSchedule.this.sequence.get(this.sequence).members(),
					responsible());
		}

		private void readList() {
			int newest = HealthSchedule.this.lists.size() - 1;
			if (this.list == newest) {
				return;
			}
			long changedAt = HealthSchedule.this.lists.get(this.list + 1).at();
			long knownFor = HealthSchedule.this.now - Math.max(changedAt, this.pausedUntil);
			if (knownFor >= LIST_DELAY_MILLIS || HealthSchedule.this.random.nextInt(10) == 0) {
				this.list = newest;
			}
		}

		// A host that has missed a change for the fencing time is not current.
		private boolean current() {
			int next = this.sequence + 1;
			return next >= HealthSchedule.this.sequence.size() || HealthSchedule.this.now
					- HealthSchedule.this.sequence.get(next).at() < FencingByAge.FENCING_TIMEOUT_MILLIS;
		}

		private void report() {
			Member to = HealthSchedule.this.sequence.get(this.sequence).coordinator();
			HealthView.ReportTicket ticket = this.view.reporting(HealthFixtures.SERVICE, to.processId());
			PeerMessage.Report report = new PeerMessage.Report(this.member.hostId(), this.member.processId(),
					this.sequence, HealthFixtures.SERVICE, evidence(), this.view.ejections(HealthFixtures.SERVICE));
			HealthSchedule.this.processes.stream()
				.filter((process) -> process.member.equals(to))
				.findFirst()
				.ifPresent((process) -> send(this.host, process, () -> {
					PeerMessage.Verdicts verdicts = process.coordinator.report(report);
					send(process.host, this, () -> this.view.apply(ticket, verdicts));
				}));
		}

		private List<PeerMessage.TargetEvidence> evidence() {
			return listed().stream().map((target) -> {
				int failures = HealthSchedule.this.failures.computeIfAbsent(target.id(),
						(id) -> HealthSchedule.this.random.nextInt(11));
				return HealthFixtures.evidence(target.id(), HealthFixtures.account("a", 10 - failures, failures));
			}).toList();
		}

	}

}
