package org.plantainspur.benchmarks.scenario;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;

import org.plantainspur.core.configuration.ServicePolicy;
import org.plantainspur.core.health.CapacityFloor;
import org.plantainspur.core.health.HealthCoordinator;
import org.plantainspur.core.health.HealthView;
import org.plantainspur.core.health.OutcomeRecorder;
import org.plantainspur.core.health.OutlierDetector;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.routing.Target;

/**
 * Replays a trace through the decision objects of all hosts and of the coordinators. An
 * outcome is dropped if its host would not have used the target; such a request counts as
 * served elsewhere.
 */
public final class FleetReplay {

	private static final long REPORT_MILLIS = 500;

	private static final long REQUESTED_REPORT_MILLIS = 50;

	/** The one-way delay between regions. */
	private static final long DELAY_MILLIS = 30;

	/** The platform's list lags by this. */
	private static final long LIST_LAG_MILLIS = 2000;

	/** No request in a trace runs longer. */
	private static final long LONGEST_MILLIS = 2000;

	/** Answers that take less are never overdue. */
	private static final long SLOW_MILLIS = 300;

	private final Deployment deployment;

	private final Scenario scenario;

	private final List<Target> targets;

	private final List<ReplayHost> hosts = new ArrayList<>();

	private final Map<String, HealthCoordinator> coordinators = new HashMap<>();

	private final Map<String, Set<String>> ejected = new HashMap<>();

	private final Map<Scenario.Fault, Set<Integer>> holders = new HashMap<>();

	private final Set<Scenario.Fault> closed = new HashSet<>();

	private final PriorityQueue<Delayed> delayed = new PriorityQueue<>();

	private final Deque<TraceEntry> ahead = new ArrayDeque<>();

	// Requests that will time out, by whether their host used the target when they began.
	private final Map<TraceEntry, Optional<OutcomeRecorder.InFlightDispatch>> running = new IdentityHashMap<>();

	private final SplittableRandom random = new SplittableRandom(1);

	private final Measures measures = new Measures();

	private final boolean localWeights;

	private long now;

	/**
	 * Creates a replay.
	 * @param deployment the deployment
	 * @param scenario the scenario
	 * @param judge makes the judge of each service
	 * @param localWeights whether hosts lower weights on their own evidence
	 */
	public FleetReplay(Deployment deployment, Scenario scenario, Supplier<OutlierDetector> judge,
			boolean localWeights) {
		this.deployment = deployment;
		this.scenario = scenario;
		this.localWeights = localWeights;
		this.targets = deployment.targets();
		for (int i = 0; i < Deployment.HOSTS; i++) {
			this.hosts.add(new ReplayHost(i, () -> this.now, this::announce));
		}
		for (String service : deployment.services()) {
			HealthCoordinator coordinator = new HealthCoordinator(service, () -> this.now, judge.get(),
					() -> listed(service), () -> ServicePolicy.DEFAULT_CAPACITY_FLOOR, () -> true);
			coordinator.updateMembership(1, deployment.membership(), true);
			this.coordinators.put(service, coordinator);
			this.ejected.put(service, Set.of());
		}
	}

	/**
	 * Replays a trace.
	 * @param trace the entries in order of time
	 * @return what was measured
	 */
	public Measures run(Iterator<TraceEntry> trace) {
		readAhead(trace);
		while (!this.ahead.isEmpty()) {
			TraceEntry entry = this.ahead.remove();
			while (this.now < entry.millis()) {
				this.now++;
				readAhead(trace);
				tick();
			}
			replay(entry);
			readAhead(trace);
		}
		this.scenario.faults()
			.stream()
			.filter((fault) -> fault.kind().equals("gray") && fault.from() < this.now && !this.closed.contains(fault))
			.forEach((fault) -> this.measures.undetected());
		return this.measures;
	}

	// The trace has the end of a request that times out; its host knows when it began.
	private void readAhead(Iterator<TraceEntry> trace) {
		while (trace.hasNext()
				&& (this.ahead.isEmpty() || this.ahead.getLast().millis() <= this.now + LONGEST_MILLIS)) {
			TraceEntry entry = trace.next();
			this.ahead.add(entry);
			if (entry.kind() == OutcomeRecorder.Kind.TIMEOUT) {
				this.delayed.add(new Delayed(entry.millis() - entry.latency(), () -> begin(entry)));
			}
		}
	}

	private void begin(TraceEntry entry) {
		ReplayHost host = this.hosts.get(entry.host());
		Target target = this.targets.get(entry.target());
		this.running.put(entry, uses(host, target) ? Optional.of(host.recorder.dispatchStarted(target, entry.account()))
				: Optional.empty());
	}

	// A request that times out was sent if its host used the target when it began.
	private boolean sent(TraceEntry entry, ReplayHost host, Target target) {
		Optional<OutcomeRecorder.InFlightDispatch> begun = this.running.remove(entry);
		if (begun == null) {
			return uses(host, target);
		}
		begun.ifPresent(OutcomeRecorder.InFlightDispatch::close);
		return begun.isPresent();
	}

	// A trace has answers at the time when the request began, so a slow one still runs.
	private void runOn(TraceEntry entry, ReplayHost host, Target target) {
		if (entry.kind() == OutcomeRecorder.Kind.SUCCESS && entry.latency() >= SLOW_MILLIS) {
			OutcomeRecorder.InFlightDispatch slow = host.recorder.dispatchStarted(target, entry.account());
			this.delayed.add(new Delayed(this.now + entry.latency(), slow::close));
		}
	}

	// A target that is still ejected from an earlier fault is no detection.
	private void closeFaultsOfEjectedTargets() {
		for (Scenario.Fault fault : this.scenario.faults()) {
			if (fault.kind().equals("gray") && fault.from() == this.now
					&& this.hosts.stream().filter((host) -> holds(host, fault.subject())).count()
							* 2 > Deployment.HOSTS) {
				this.closed.add(fault);
			}
		}
	}

	private boolean holds(ReplayHost host, String targetId) {
		return this.deployment.services()
			.stream()
			.anyMatch((service) -> host.view.ejectedTargetIds(service).contains(targetId));
	}

	private void tick() {
		closeFaultsOfEjectedTargets();
		Delayed due = this.delayed.peek();
		while (due != null && due.at() <= this.now) {
			this.delayed.remove().action().run();
			due = this.delayed.peek();
		}
		for (int i = 0; i < Deployment.HOSTS; i++) {
			ReplayHost host = this.hosts.get(i);
			if ((this.now + i * REPORT_MILLIS / Deployment.HOSTS) % REPORT_MILLIS == 0) {
				this.deployment.services().forEach((service) -> report(host, service));
			}
			if ((this.now + i) % REQUESTED_REPORT_MILLIS == 0) {
				host.requested.take().forEach((service) -> report(host, service));
			}
		}
	}

	private void replay(TraceEntry entry) {
		Target target = this.targets.get(entry.target());
		ReplayHost host = this.hosts.get(entry.host());
		if (entry.fingerprint().equals("poison")) {
			if (host.quarantine.quarantined("poison")) {
				return;
			}
			this.measures.crashed(entry.target());
		}
		boolean ordinary = entry.fingerprint().equals("-");
		if (!sent(entry, host, target)) {
			if (ordinary) {
				this.measures.request(entry.account(), true);
			}
			return;
		}
		if (entry.fingerprint().equals("leaving")) {
			host.recorder.targetLeaving(target);
		}
		else if (ordinary) {
			this.measures.request(entry.account(), entry.kind() == OutcomeRecorder.Kind.SUCCESS);
		}
		runOn(entry, host, target);
		String fingerprint = ordinary ? "r" + this.random.nextInt() : entry.fingerprint();
		host.recorder
			.record(new OutcomeRecorder.Outcome(target, entry.account(), fingerprint, entry.kind(), entry.latency()));
	}

	private boolean uses(ReplayHost host, Target target) {
		HealthView.ServiceHealth health = host.view.service(target.service());
		if (host.collector.observedLeaving(target.id()) || health.leaving(target.id(), this.now)) {
			return false;
		}
		double weight = health.target(target.id()).weightAt(this.now);
		if (health.target(target.id()).ejectedAt(this.now)) {
			weight = CapacityFloor
				.usable(listed(target.service()), health, ServicePolicy.DEFAULT_CAPACITY_FLOOR, this.now)
				.stream()
				.filter((usable) -> usable.target().id().equals(target.id()))
				.mapToDouble(CapacityFloor.Usable::weight)
				.sum();
		}
		else if (this.localWeights) {
			weight = Math.max(CapacityFloor.MIN_WEIGHT, weight * host.weights.weight(target.id()));
		}
		return weight >= 1 || this.random.nextDouble() < weight;
	}

	private void report(ReplayHost host, String service) {
		HealthView.SentReport ticket = host.view.beginReport(service, "p0");
		PeerMessage.Report report = host.report(service);
		this.measures.reported();
		if (cutOff(host)) {
			return;
		}
		HealthCoordinator coordinator = coordinator(service);
		PeerMessage.Verdicts verdicts = coordinator.report(report);
		noteEjections(service, verdicts);
		if (coordinator.takeReportRequest()) {
			this.delayed.add(new Delayed(this.now + DELAY_MILLIS, () -> requestReports(service)));
		}
		this.delayed.add(new Delayed(this.now + 2 * DELAY_MILLIS, () -> {
			host.view.apply(ticket, verdicts);
			noteHeld(host, service);
		}));
	}

	private void requestReports(String service) {
		this.hosts.stream().filter((host) -> !cutOff(host)).forEach((host) -> {
			this.measures.requestedReport();
			host.requested.add(service);
		});
	}

	private boolean cutOff(ReplayHost host) {
		return this.deployment.region(host.number).equals(this.deployment.regions().get(1)) && this.scenario.faults()
			.stream()
			.anyMatch((fault) -> fault.kind().equals("cut") && fault.at(this.now));
	}

	private HealthCoordinator coordinator(String service) {
		HealthCoordinator coordinator = this.coordinators.get(service);
		if (coordinator == null) {
			throw new IllegalArgumentException("no service " + service);
		}
		return coordinator;
	}

	private void noteEjections(String service, PeerMessage.Verdicts verdicts) {
		Set<String> next = new HashSet<>();
		for (PeerMessage.Verdict verdict : verdicts.verdicts()) {
			if (verdict.ejected()) {
				next.add(verdict.targetId());
			}
		}
		Set<String> before = this.ejected.getOrDefault(service, Set.of());
		next.stream().filter((id) -> !before.contains(id)).forEach((id) -> this.measures.ejected(!faulty(id)));
		this.ejected.put(service, next);
	}

	// Evidence of timeouts arrives late, so an ejection soon after a fault is no mistake.
	private boolean faulty(String targetId) {
		return this.scenario.faults()
			.stream()
			.anyMatch((fault) -> fault.kind().equals("gray") && fault.subject().equals(targetId)
					&& this.now >= fault.from() && this.now < fault.to() + 5000);
	}

	private void noteHeld(ReplayHost host, String service) {
		for (Scenario.Fault fault : this.scenario.faults()) {
			if (!fault.kind().equals("gray") || !fault.at(this.now) || this.closed.contains(fault)) {
				continue;
			}
			if (host.view.ejectedTargetIds(service).contains(fault.subject())) {
				Set<Integer> holding = this.holders.computeIfAbsent(fault, (key) -> new HashSet<>());
				holding.add(host.number);
				if (holding.size() * 2 > Deployment.HOSTS) {
					this.closed.add(fault);
					this.measures.detected(this.now - fault.from());
				}
			}
		}
	}

	private List<Target> listed(String service) {
		return this.targets.stream()
			.filter((target) -> target.service().equals(service) && !replacedNow(target.id()))
			.toList();
	}

	private boolean replacedNow(String targetId) {
		for (Scenario.Fault fault : this.scenario.faults()) {
			if (fault.is("replaced", targetId, this.now) && this.now >= fault.from() + LIST_LAG_MILLIS) {
				return true;
			}
		}
		return false;
	}

	private void announce(PeerMessage.Suspect suspect) {
		this.delayed.add(new Delayed(this.now + DELAY_MILLIS,
				() -> this.hosts.forEach((host) -> host.quarantine.recordCrash(suspect))));
	}

	private record Delayed(long at, Runnable action) implements Comparable<Delayed> {

		@Override
		public int compareTo(Delayed other) {
			return Long.compare(this.at, other.at);
		}

	}

}
