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
 * Replays a trace through the decision objects of all hosts and health coordinators. An
 * outcome is dropped if its host would not have sent a request to the target; such a
 * request counts as served by another target.
 */
public final class FleetReplay {

	/** Interval at which each host sends a health report for each service. */
	private static final long REPORT_INTERVAL_MILLIS = 500;

	/**
	 * Interval at which each host checks whether a coordinator has requested a report.
	 */
	private static final long REPORT_REQUEST_CHECK_INTERVAL_MILLIS = 50;

	/**
	 * One-way delay of every message between hosts. Also used for hosts in the same
	 * region, whose messages are faster in a real fleet.
	 */
	private static final long CROSS_REGION_DELAY_MILLIS = 30;

	/** Time after which a change of the targets shows in the platform's target list. */
	private static final long TARGET_LIST_LAG_MILLIS = 2000;

	/**
	 * Upper bound of the latency of requests in a trace; entries are read ahead by this
	 * time.
	 */
	private static final long MAX_REQUEST_MILLIS = 2000;

	/**
	 * Successful dispatches with at least this latency are kept in flight until it has
	 * passed; faster ones are never overdue.
	 */
	private static final long OVERDUE_THRESHOLD_MILLIS = 300;

	private final Deployment deployment;

	private final Scenario scenario;

	private final List<Target> targets;

	private final List<ReplayHost> hosts = new ArrayList<>();

	private final Map<String, HealthCoordinator> coordinators = new HashMap<>();

	private final Map<String, Set<String>> ejectedByService = new HashMap<>();

	// The numbers of the hosts that have ejected the target of a fault.
	private final Map<Scenario.Fault, Set<Integer>> ejectingHosts = new HashMap<>();

	// Faults that have been detected or are left out of the detection times.
	private final Set<Scenario.Fault> decidedFaults = new HashSet<>();

	private final PriorityQueue<ScheduledAction> scheduledActions = new PriorityQueue<>();

	private final Deque<TraceEntry> lookahead = new ArrayDeque<>();

	// Requests that will time out. The value is empty if their host did not use the
	// target when they began.
	private final Map<TraceEntry, Optional<OutcomeRecorder.InFlightDispatch>> timingOutDispatches = new IdentityHashMap<>();

	private final SplittableRandom random = new SplittableRandom(1);

	private final ReplayResult result = new ReplayResult();

	private final boolean useLocalWeights;

	private long nowMillis;

	/**
	 * Creates a replay at time 0 with one coordinator for each service.
	 * @param deployment the hosts, targets and accounts
	 * @param scenario the faults, which decide what counts as a detection
	 * @param detectorFactory creates the outlier detector of each service
	 * @param useLocalWeights whether a host lowers the weights of targets on its own
	 * evidence
	 */
	public FleetReplay(Deployment deployment, Scenario scenario, Supplier<OutlierDetector> detectorFactory,
			boolean useLocalWeights) {
		this.deployment = deployment;
		this.scenario = scenario;
		this.useLocalWeights = useLocalWeights;
		this.targets = deployment.targets();
		for (int i = 0; i < Deployment.HOST_COUNT; i++) {
			this.hosts.add(new ReplayHost(i, () -> this.nowMillis, this::shareCrash));
		}
		for (String service : deployment.services()) {
			HealthCoordinator coordinator = new HealthCoordinator(service, () -> this.nowMillis, detectorFactory.get(),
					() -> listedTargets(service), () -> ServicePolicy.DEFAULT_CAPACITY_FLOOR, () -> true);
			coordinator.updateMembership(1, deployment.membership(), true);
			this.coordinators.put(service, coordinator);
			this.ejectedByService.put(service, Set.of());
		}
	}

	/**
	 * Replays a trace. Can be called once.
	 * @param trace the entries in order of time
	 * @return the measurements of the replay
	 */
	public ReplayResult run(Iterator<TraceEntry> trace) {
		fillLookahead(trace);
		while (!this.lookahead.isEmpty()) {
			TraceEntry entry = this.lookahead.remove();
			while (this.nowMillis < entry.millis()) {
				this.nowMillis++;
				fillLookahead(trace);
				advanceOneMillisecond();
			}
			replayEntry(entry);
			fillLookahead(trace);
		}
		this.scenario.faults()
			.stream()
			.filter((fault) -> fault.kind().equals("gray") && fault.from() < this.nowMillis
					&& !this.decidedFaults.contains(fault))
			.forEach((fault) -> this.result.recordUndetected());
		return this.result;
	}

	// The trace has only the end of a request that times out, so entries are read ahead
	// to start its dispatch at the time when it began.
	private void fillLookahead(Iterator<TraceEntry> trace) {
		while (trace.hasNext() && (this.lookahead.isEmpty()
				|| this.lookahead.getLast().millis() <= this.nowMillis + MAX_REQUEST_MILLIS)) {
			TraceEntry entry = trace.next();
			this.lookahead.add(entry);
			if (entry.kind() == OutcomeRecorder.Kind.TIMEOUT) {
				this.scheduledActions
					.add(new ScheduledAction(entry.millis() - entry.latency(), () -> startDispatch(entry)));
			}
		}
	}

	private void startDispatch(TraceEntry entry) {
		ReplayHost host = this.hosts.get(entry.host());
		Target target = this.targets.get(entry.target());
		this.timingOutDispatches.put(entry, usesTarget(host, target)
				? Optional.of(host.recorder.dispatchStarted(target, entry.account())) : Optional.empty());
	}

	// A request that timed out was sent if its host used the target when the request
	// began; any other request, if the host uses the target now.
	private boolean wasSent(TraceEntry entry, ReplayHost host, Target target) {
		Optional<OutcomeRecorder.InFlightDispatch> started = this.timingOutDispatches.remove(entry);
		if (started == null) {
			return usesTarget(host, target);
		}
		started.ifPresent(OutcomeRecorder.InFlightDispatch::close);
		return started.isPresent();
	}

	// A trace has a response at the time when its request began, so the dispatch of a
	// slow one stays in flight until its latency has passed.
	private void keepSlowDispatchInFlight(TraceEntry entry, ReplayHost host, Target target) {
		if (entry.kind() == OutcomeRecorder.Kind.SUCCESS && entry.latency() >= OVERDUE_THRESHOLD_MILLIS) {
			OutcomeRecorder.InFlightDispatch slow = host.recorder.dispatchStarted(target, entry.account());
			this.scheduledActions.add(new ScheduledAction(this.nowMillis + entry.latency(), slow::close));
		}
	}

	// A fault whose target most hosts still eject because of an earlier fault is left out
	// of the detection times.
	private void skipFaultsOfEjectedTargets() {
		for (Scenario.Fault fault : this.scenario.faults()) {
			if (fault.kind().equals("gray") && fault.from() == this.nowMillis
					&& this.hosts.stream().filter((host) -> isEjectedAt(host, fault.subject())).count()
							* 2 > Deployment.HOST_COUNT) {
				this.decidedFaults.add(fault);
			}
		}
	}

	private boolean isEjectedAt(ReplayHost host, String targetId) {
		return this.deployment.services()
			.stream()
			.anyMatch((service) -> host.view.ejectedTargetIds(service).contains(targetId));
	}

	private void advanceOneMillisecond() {
		skipFaultsOfEjectedTargets();
		ScheduledAction due = this.scheduledActions.peek();
		while (due != null && due.dueMillis() <= this.nowMillis) {
			this.scheduledActions.remove().action().run();
			due = this.scheduledActions.peek();
		}
		for (int i = 0; i < Deployment.HOST_COUNT; i++) {
			ReplayHost host = this.hosts.get(i);
			if ((this.nowMillis + i * REPORT_INTERVAL_MILLIS / Deployment.HOST_COUNT) % REPORT_INTERVAL_MILLIS == 0) {
				this.deployment.services().forEach((service) -> report(host, service));
			}
			if ((this.nowMillis + i) % REPORT_REQUEST_CHECK_INTERVAL_MILLIS == 0) {
				host.requestedReports.take().forEach((service) -> report(host, service));
			}
		}
	}

	private void replayEntry(TraceEntry entry) {
		Target target = this.targets.get(entry.target());
		ReplayHost host = this.hosts.get(entry.host());
		if (entry.fingerprint().equals("poison")) {
			if (host.quarantine.quarantined("poison")) {
				return;
			}
			this.result.recordCrash(entry.target());
		}
		boolean hasUniqueFingerprint = entry.fingerprint().equals("-");
		if (!wasSent(entry, host, target)) {
			if (hasUniqueFingerprint) {
				this.result.recordRequest(entry.account(), true);
			}
			return;
		}
		if (entry.fingerprint().equals("leaving")) {
			host.recorder.targetLeaving(target);
		}
		else if (hasUniqueFingerprint) {
			this.result.recordRequest(entry.account(), entry.kind() == OutcomeRecorder.Kind.SUCCESS);
		}
		keepSlowDispatchInFlight(entry, host, target);
		String fingerprint = hasUniqueFingerprint ? "r" + this.random.nextInt() : entry.fingerprint();
		host.recorder
			.record(new OutcomeRecorder.Outcome(target, entry.account(), fingerprint, entry.kind(), entry.latency()));
	}

	private boolean usesTarget(ReplayHost host, Target target) {
		HealthView.ServiceHealth health = host.view.service(target.service());
		if (host.collector.observedLeaving(target.id()) || health.leaving(target.id(), this.nowMillis)) {
			return false;
		}
		double weight = health.target(target.id()).weightAt(this.nowMillis);
		if (health.target(target.id()).ejectedAt(this.nowMillis)) {
			weight = CapacityFloor
				.usable(listedTargets(target.service()), health, ServicePolicy.DEFAULT_CAPACITY_FLOOR, this.nowMillis)
				.stream()
				.filter((usable) -> usable.target().id().equals(target.id()))
				.mapToDouble(CapacityFloor.Usable::weight)
				.sum();
		}
		else if (this.useLocalWeights) {
			weight = Math.max(CapacityFloor.MIN_WEIGHT, weight * host.weights.weight(target.id()));
		}
		return weight >= 1 || this.random.nextDouble() < weight;
	}

	// The coordinator receives the report at once; the host receives the verdicts after
	// the delays of both messages. Every coordinator counts as process p0, because the
	// coordinators never change in a replay.
	private void report(ReplayHost host, String service) {
		HealthView.SentReport sentReport = host.view.beginReport(service, "p0");
		PeerMessage.Report report = host.report(service);
		this.result.recordReport();
		if (isPartitioned(host)) {
			return;
		}
		HealthCoordinator coordinator = coordinator(service);
		PeerMessage.Verdicts verdicts = coordinator.report(report);
		recordEjections(service, verdicts);
		if (coordinator.takeReportRequest()) {
			this.scheduledActions
				.add(new ScheduledAction(this.nowMillis + CROSS_REGION_DELAY_MILLIS, () -> requestReports(service)));
		}
		this.scheduledActions.add(new ScheduledAction(this.nowMillis + 2 * CROSS_REGION_DELAY_MILLIS, () -> {
			host.view.apply(sentReport, verdicts);
			recordDetections(host, service);
		}));
	}

	private void requestReports(String service) {
		this.hosts.stream().filter((host) -> !isPartitioned(host)).forEach((host) -> {
			this.result.recordReportRequest();
			host.requestedReports.add(service);
		});
	}

	private boolean isPartitioned(ReplayHost host) {
		return this.deployment.region(host.number).equals(this.deployment.regions().get(1)) && this.scenario.faults()
			.stream()
			.anyMatch((fault) -> fault.kind().equals("cut") && fault.activeAt(this.nowMillis));
	}

	private HealthCoordinator coordinator(String service) {
		HealthCoordinator coordinator = this.coordinators.get(service);
		if (coordinator == null) {
			throw new IllegalArgumentException("the deployment has no service " + service);
		}
		return coordinator;
	}

	private void recordEjections(String service, PeerMessage.Verdicts verdicts) {
		Set<String> ejectedNow = new HashSet<>();
		for (PeerMessage.Verdict verdict : verdicts.verdicts()) {
			if (verdict.ejected()) {
				ejectedNow.add(verdict.targetId());
			}
		}
		Set<String> ejectedBefore = this.ejectedByService.getOrDefault(service, Set.of());
		ejectedNow.stream()
			.filter((id) -> !ejectedBefore.contains(id))
			.forEach((id) -> this.result.recordEjection(!hasGrayFault(id)));
		this.ejectedByService.put(service, ejectedNow);
	}

	// Evidence of timeouts arrives late, so an ejection within 5 s after a fault is not
	// false.
	private boolean hasGrayFault(String targetId) {
		return this.scenario.faults()
			.stream()
			.anyMatch((fault) -> fault.kind().equals("gray") && fault.subject().equals(targetId)
					&& this.nowMillis >= fault.from() && this.nowMillis < fault.to() + 5000);
	}

	private void recordDetections(ReplayHost host, String service) {
		for (Scenario.Fault fault : this.scenario.faults()) {
			if (!fault.kind().equals("gray") || !fault.activeAt(this.nowMillis) || this.decidedFaults.contains(fault)) {
				continue;
			}
			if (host.view.ejectedTargetIds(service).contains(fault.subject())) {
				Set<Integer> ejecting = this.ejectingHosts.computeIfAbsent(fault, (key) -> new HashSet<>());
				ejecting.add(host.number);
				if (ejecting.size() * 2 > Deployment.HOST_COUNT) {
					this.decidedFaults.add(fault);
					this.result.recordDetection(this.nowMillis - fault.from());
				}
			}
		}
	}

	private List<Target> listedTargets(String service) {
		return this.targets.stream()
			.filter((target) -> target.service().equals(service) && !isReplaced(target.id()))
			.toList();
	}

	private boolean isReplaced(String targetId) {
		for (Scenario.Fault fault : this.scenario.faults()) {
			if (fault.affects("replaced", targetId, this.nowMillis)
					&& this.nowMillis >= fault.from() + TARGET_LIST_LAG_MILLIS) {
				return true;
			}
		}
		return false;
	}

	private void shareCrash(PeerMessage.Suspect suspect) {
		this.scheduledActions.add(new ScheduledAction(this.nowMillis + CROSS_REGION_DELAY_MILLIS,
				() -> this.hosts.forEach((host) -> host.quarantine.recordCrash(suspect))));
	}

	private record ScheduledAction(long dueMillis, Runnable action) implements Comparable<ScheduledAction> {

		@Override
		public int compareTo(ScheduledAction other) {
			return Long.compare(this.dueMillis, other.dueMillis);
		}

	}

}
