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
import org.plantainspur.core.currency.ReadAgeCurrencyRule;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.routing.Target;
import org.plantainspur.core.time.ManualClock;

/**
 * Simulates a few hosts that report to coordinators, with randomly lost and late
 * messages, one-way network partitions, pauses, drifting clocks, coordinators that change
 * before every host knows, process restarts, removal of live members that join again,
 * sequence numbers that a host skips, and target lists that reach each host at a
 * different time.
 */
final class HealthSimulation {

	static final double FLOOR = 0.7;

	/** A running host has read a new target list after this time. */
	static final long LIST_DELAY_MILLIS = 2000;

	private static final int STEP_MILLIS = 100;

	private static final int HOSTS = 4;

	private static final int MAX_TARGETS = 20;

	private static final int MAX_PAUSE_MILLIS = 9000;

	private static final int MAX_PARTITION_MILLIS = 9000;

	private final Random random;

	private final EventRates eventRates;

	private final List<MembershipVersion> versions = new ArrayList<>();

	private final List<TargetList> targetLists = new ArrayList<>();

	private final List<HostProcess> processes = new ArrayList<>();

	private final List<Delivery> inFlight = new ArrayList<>();

	private final List<Delivery> plannedJoins = new ArrayList<>();

	private final long[][] partitionedUntil = new long[HOSTS][HOSTS];

	/** The number of failures among ten outcomes by target id. */
	private final Map<String, Integer> failures = new HashMap<>();

	private int processCount;

	private int nextTarget;

	private int coordinatorRestarts;

	private int overlappingCoordinatorSteps;

	private long now;

	HealthSimulation(long seed, boolean listChanges) {
		this.random = new Random(seed);
		List<Target> targets = randomTargets(this.random);
		this.nextTarget = targets.size();
		this.targetLists.add(new TargetList(targets, 0));
		this.eventRates = EventRates.random(this.random, listChanges);
		Membership members = Membership.empty();
		for (int i = 0; i < HOSTS; i++) {
			HostProcess process = new HostProcess(i);
			this.processes.add(process);
			members = members.apply(new Change.MemberJoined(process.member), 0);
		}
		this.versions.add(new MembershipVersion(members, members.members().iterator().next(), 0));
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
		return CapacityFloor.slots(targets) - CapacityFloor.floorSlots(targets, FLOOR);
	}

	/** Returns the targets that are listed now and not leaving. */
	List<Target> targets() {
		return staying(this.targetLists.get(this.targetLists.size() - 1).targets());
	}

	int budget() {
		return budget(targets());
	}

	/**
	 * Returns the ids of targets that any process, paused ones included, holds ejected.
	 */
	Set<String> held() {
		Set<String> held = new HashSet<>();
		this.processes.forEach((process) -> held.addAll(process.view.ejectedTargetIds(HealthFixtures.SERVICE)));
		return held;
	}

	/**
	 * Returns the ids of targets that some running process does not use after the check
	 * of the capacity floor.
	 */
	Set<String> unusedTargets() {
		Set<String> unused = new HashSet<>();
		this.processes.stream()
			.filter(HostProcess::running)
			.forEach((process) -> unused.addAll(process.unusedTargets()));
		return unused;
	}

	/**
	 * Returns the largest budget that a running process computes from the list that it
	 * knows.
	 */
	int largestKnownBudget() {
		return this.processes.stream()
			.filter(HostProcess::running)
			.mapToInt((process) -> budget(process.staying()))
			.max()
			.orElse(0);
	}

	/**
	 * Returns the time in milliseconds since the list changed or since a paused process,
	 * which may have an old list, resumed.
	 */
	long millisSinceListChangeOrResume() {
		long last = this.targetLists.get(this.targetLists.size() - 1).at();
		for (HostProcess process : this.processes) {
			last = process.running() ? Math.max(last, process.pausedUntil) : last;
		}
		return this.now - last;
	}

	/** Returns how many processes have restarted while they were the coordinator. */
	int coordinatorRestarts() {
		return this.coordinatorRestarts;
	}

	/**
	 * Returns in how many steps more than one running process considered itself the
	 * coordinator.
	 */
	int overlappingCoordinatorSteps() {
		return this.overlappingCoordinatorSteps;
	}

	void step() {
		this.now += STEP_MILLIS;
		this.processes.forEach(HostProcess::advance);
		changeFleet();
		changeList();
		if (occurs(0.1)) {
			this.failures.put(randomElement(this.targetLists.get(this.targetLists.size() - 1).targets()).id(),
					this.random.nextInt(11));
		}
		deliverDue(this.plannedJoins);
		deliverDue(this.inFlight);
		List.copyOf(this.processes).forEach(HostProcess::runOnce);
		long activeCoordinators = this.processes.stream()
			.filter((process) -> process.running() && process.isCoordinator() && process.current())
			.count();
		this.overlappingCoordinatorSteps += (activeCoordinators > 1) ? 1 : 0;
	}

	private boolean occurs(double rate) {
		return this.random.nextDouble() < rate;
	}

	private <T> T randomElement(List<T> all) {
		return all.get(this.random.nextInt(all.size()));
	}

	private void deliverDue(List<Delivery> deliveries) {
		List<Delivery> due = deliveries.stream()
			.filter((delivery) -> delivery.at() <= this.now && delivery.to().running())
			.toList();
		deliveries.removeAll(due);
		due.forEach((delivery) -> delivery.action().run());
	}

	private void changeFleet() {
		if (occurs(this.eventRates.coordinatorChange())) {
			publish(newest().members(), randomElement(List.copyOf(newest().members().members())));
		}
		if (occurs(this.eventRates.restart())) {
			restart(randomElement(this.processes));
		}
		if (occurs(this.eventRates.removal())) {
			remove(randomElement(this.processes));
		}
		if (occurs(this.eventRates.pause())) {
			randomElement(this.processes).pausedUntil = this.now + this.random.nextInt(MAX_PAUSE_MILLIS);
		}
		if (occurs(this.eventRates.partition())) {
			this.partitionedUntil[this.random.nextInt(HOSTS)][this.random.nextInt(HOSTS)] = this.now
					+ this.random.nextInt(MAX_PARTITION_MILLIS);
		}
	}

	private MembershipVersion newest() {
		return this.versions.get(this.versions.size() - 1);
	}

	// Keeps the coordinator while its host is a member, as rendezvous hashing does.
	private void publish(Membership members) {
		Member currentMember = members.member(newest().coordinator().hostId());
		publish(members, (currentMember != null) ? currentMember : randomElement(List.copyOf(members.members())));
	}

	private void publish(Membership members, Member coordinator) {
		this.versions.add(new MembershipVersion(members, coordinator, this.now));
	}

	private void restart(HostProcess previous) {
		this.coordinatorRestarts += newest().coordinator().equals(previous.member) ? 1 : 0;
		this.processes.remove(previous);
		HostProcess successor = new HostProcess(previous.host);
		successor.sequence = this.versions.size() - 1;
		successor.updateMembership();
		this.processes.add(successor);
		planJoin(successor, 1500);
	}

	private void remove(HostProcess process) {
		Member present = newest().members().member(process.member.hostId());
		if (!process.member.equals(present) || newest().members().size() < 3) {
			return;
		}
		publish(newest().members().apply(new Change.MembersRemoved(List.of(present)), this.versions.size()));
		planJoin(process, 12_000);
	}

	private void planJoin(HostProcess process, int maxDelayMillis) {
		this.plannedJoins.add(new Delivery(this.now + this.random.nextInt(maxDelayMillis), process, () -> {
			if (this.processes.contains(process)) {
				publish(newest().members().apply(new Change.MemberJoined(process.member), this.versions.size()));
			}
		}));
	}

	private void changeList() {
		if (!occurs(this.eventRates.listChange())) {
			return;
		}
		List<Target> targets = new ArrayList<>(this.targetLists.get(this.targetLists.size() - 1).targets());
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
		if (targets.size() <= MAX_TARGETS) {
			this.targetLists.add(new TargetList(List.copyOf(targets), this.now));
		}
	}

	// A removed target may be listed again while verdicts on it are still held.
	private Target relistedOrNew(List<Target> targets) {
		Set<String> present = new HashSet<>();
		targets.forEach((target) -> present.add(target.id()));
		List<Target> removed = this.targetLists.stream()
			.flatMap((listed) -> listed.targets().stream())
			.filter((target) -> !present.contains(target.id()))
			.toList();
		if (!removed.isEmpty() && this.random.nextBoolean()) {
			return randomElement(removed);
		}
		this.nextTarget++;
		return HealthFixtures.target(this.nextTarget, 1 + this.random.nextInt(4));
	}

	private void send(int from, HostProcess to, Runnable action) {
		boolean partitioned = this.partitionedUntil[from][to.host] > this.now;
		if (!partitioned && !occurs(this.eventRates.messageLoss())) {
			int maxDelayMillis = (this.random.nextInt(10) == 0) ? 4000 : 300;
			this.inFlight.add(new Delivery(this.now + this.random.nextInt(maxDelayMillis), to, action));
		}
	}

	/**
	 * The membership and the coordinator from one configuration sequence number on. The
	 * number is the index in the list of versions.
	 */
	private record MembershipVersion(Membership members, Member coordinator, long at) {
	}

	private record TargetList(List<Target> targets, long at) {
	}

	/** An action that runs at a time, or later when the process is no longer paused. */
	private record Delivery(long at, HostProcess to, Runnable action) {
	}

	/** The probability of each event per step, drawn once for each simulation. */
	private record EventRates(double messageLoss, double coordinatorChange, double restart, double removal,
			double pause, double partition, double sequenceSkip, double listChange) {

		static EventRates random(Random random, boolean listChanges) {
			return new EventRates(random.nextDouble() * 0.4, rate(random, 0.03), rate(random, 0.02), rate(random, 0.02),
					rate(random, 0.02), rate(random, 0.03), rate(random, 0.3), listChanges ? rate(random, 0.04) : 0);
		}

		// Leaves each kind of event out of a third of the simulations, so that the
		// effects of the others have time to develop.
		private static double rate(Random random, double largest) {
			return (random.nextInt(3) == 0) ? 0 : random.nextDouble() * largest;
		}

	}

	/** Finds random targets unhealthy for a while. */
	private final class RandomDetector implements OutlierDetector {

		private final Set<String> unhealthy = new HashSet<>();

		@Override
		public void observe(Observation observation) {
			String id = observation.target().id();
			if (HealthSimulation.this.random.nextInt(20) == 0 && !this.unhealthy.remove(id)) {
				this.unhealthy.add(id);
			}
		}

		@Override
		public Assessment assess(String targetId) {
			return this.unhealthy.contains(targetId)
					? new Assessment(true, 1 + HealthSimulation.this.random.nextDouble(), Set.of(), "random")
					: Assessment.HEALTHY;
		}

		@Override
		public void readmitted(String targetId) {
			this.unhealthy.remove(targetId);
		}

		@Override
		public void retain(Collection<String> targetIds) {
			this.unhealthy.retainAll(targetIds);
		}

	}

	/** A process that runs on a host and may be the coordinator. */
	private final class HostProcess {

		private final int host;

		private final Member member;

		private final double clockRate;

		private final ManualClock clock = new ManualClock();

		private final HealthView view = new HealthView(this.clock);

		private final HealthCoordinator coordinator = new HealthCoordinator(HealthFixtures.SERVICE, this.clock,
				new RandomDetector(), this::listed, () -> FLOOR, this::current);

		private int sequence = -1;

		private int targetListIndex;

		private long pausedUntil;

		private double clockRemainder;

		HostProcess(int host) {
			this.host = host;
			this.member = HealthFixtures.member(host, HealthSimulation.this.processCount++);
			// The rates of two clocks differ by less than the 2% that ClockMargin allows
			// for.
			this.clockRate = 1 + (HealthSimulation.this.random.nextDouble() - 0.5) * 0.019;
			this.targetListIndex = HealthSimulation.this.targetLists.size() - 1;
		}

		boolean running() {
			return this.pausedUntil <= HealthSimulation.this.now;
		}

		boolean isCoordinator() {
			return this.sequence >= 0
					&& HealthSimulation.this.versions.get(this.sequence).coordinator().equals(this.member);
		}

		private List<Target> listed() {
			return HealthSimulation.this.targetLists.get(this.targetListIndex).targets();
		}

		// Applies the same rule as the target choosers.
		private List<Target> staying() {
			HealthView.ServiceHealth held = this.view.service(HealthFixtures.SERVICE);
			return HealthSimulation.staying(listed())
				.stream()
				.filter((target) -> !held.leaving(target.id(), this.clock.millis()))
				.toList();
		}

		private Set<String> unusedTargets() {
			Set<String> unused = new HashSet<>();
			staying().forEach((target) -> unused.add(target.id()));
			CapacityFloor.usable(staying(), this.view.service(HealthFixtures.SERVICE), FLOOR, this.clock.millis())
				.forEach((usable) -> unused.remove(usable.target().id()));
			return unused;
		}

		void advance() {
			this.clockRemainder += STEP_MILLIS * this.clockRate;
			long whole = (long) this.clockRemainder;
			this.clock.advance(whole);
			this.clockRemainder -= whole;
		}

		void runOnce() {
			if (!running()) {
				return;
			}
			int newest = HealthSimulation.this.versions.size() - 1;
			while (this.sequence < newest && (this.sequence < 0 || HealthSimulation.this.random.nextInt(12) == 0)) {
				this.sequence = occurs(HealthSimulation.this.eventRates.sequenceSkip()) ? newest : this.sequence + 1;
				updateMembership();
			}
			readList();
			if (HealthSimulation.this.random.nextInt(4) == 0) {
				report();
			}
		}

		private void updateMembership() {
			this.coordinator.updateMembership(this.sequence,
					HealthSimulation.this.versions.get(this.sequence).members(), isCoordinator());
		}

		private void readList() {
			int newest = HealthSimulation.this.targetLists.size() - 1;
			if (this.targetListIndex == newest) {
				return;
			}
			long changedAt = HealthSimulation.this.targetLists.get(this.targetListIndex + 1).at();
			long knownFor = HealthSimulation.this.now - Math.max(changedAt, this.pausedUntil);
			if (knownFor >= LIST_DELAY_MILLIS || HealthSimulation.this.random.nextInt(10) == 0) {
				this.targetListIndex = newest;
			}
		}

		// A host that has missed a change for the fencing timeout is not current.
		private boolean current() {
			int next = this.sequence + 1;
			return next >= HealthSimulation.this.versions.size() || HealthSimulation.this.now
					- HealthSimulation.this.versions.get(next).at() < ReadAgeCurrencyRule.FENCING_TIMEOUT_MILLIS;
		}

		private void report() {
			Member to = HealthSimulation.this.versions.get(this.sequence).coordinator();
			HealthView.SentReport sentReport = this.view.beginReport(HealthFixtures.SERVICE, to.processId());
			PeerMessage.Report report = new PeerMessage.Report(this.member.hostId(), this.member.processId(),
					this.sequence, HealthFixtures.SERVICE, evidence(), this.view.heldEjections(HealthFixtures.SERVICE));
			HealthSimulation.this.processes.stream()
				.filter((process) -> process.member.equals(to))
				.findFirst()
				.ifPresent((process) -> send(this.host, process, () -> {
					PeerMessage.Verdicts verdicts = process.coordinator.report(report);
					send(process.host, this, () -> this.view.apply(sentReport, verdicts));
				}));
		}

		private List<PeerMessage.TargetEvidence> evidence() {
			return listed().stream().map((target) -> {
				int failures = HealthSimulation.this.failures.computeIfAbsent(target.id(),
						(id) -> HealthSimulation.this.random.nextInt(11));
				return HealthFixtures.evidence(target.id(), HealthFixtures.account("a", 10 - failures, failures));
			}).toList();
		}

	}

}
