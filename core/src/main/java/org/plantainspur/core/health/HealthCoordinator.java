package org.plantainspur.core.health;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.routing.Target;
import org.plantainspur.core.time.Clock;

/**
 * Collects the health reports of all hosts for one service and answers each with
 * verdicts. Every host may run one; it ejects targets only while
 * {@link #updateMembership} has made this process the service's coordinator, and only
 * within the ejection budget. Its methods are synchronized and are not called on the
 * request path.
 */
public final class HealthCoordinator {

	private final String service;

	private final Clock clock;

	private final OutlierDetector detector;

	private final Supplier<List<Target>> targets;

	private final DoubleSupplier floor;

	private final BooleanSupplier configurationCurrent;

	private final CoordinatorHandover handover = new CoordinatorHandover();

	private final EjectionBudget ejectionBudget = new EjectionBudget();

	private final RecentFailureRates failureRates = new RecentFailureRates();

	private final EjectionSwap swap = new EjectionSwap(this.failureRates, this.ejectionBudget);

	private final PooledLoad load = new PooledLoad();

	private final Map<String, EjectionState> states = new HashMap<>();

	private final Map<String, Long> leavingUntil = new HashMap<>();

	private final ReportRequestBudget reportRequestBudget = new ReportRequestBudget();

	// Whether the members are to be asked for reports; cleared by takeReportRequest().
	private boolean reportRequestPending;

	// Whether the members have yet to be asked for reports after a new ejection. They
	// receive the ejection in the answers to these reports.
	private boolean ejectionUnannounced;

	private Membership membership = Membership.empty();

	// Whether this process could eject when it processed the previous report.
	private boolean couldEject;

	/**
	 * Creates a coordinator that may not eject yet.
	 * @param service the service's name
	 * @param clock the process clock
	 * @param detector decides which targets are unhealthy
	 * @param targets supplies the service's targets as last listed by the platform
	 * @param floor supplies the capacity floor in force, a fraction of the slots from 0
	 * to 1
	 * @param configurationCurrent tells whether this process's configuration is current;
	 * while it is not, nothing is ejected
	 */
	public HealthCoordinator(String service, Clock clock, OutlierDetector detector, Supplier<List<Target>> targets,
			DoubleSupplier floor, BooleanSupplier configurationCurrent) {
		this.service = service;
		this.clock = clock;
		this.detector = detector;
		this.targets = targets;
		this.floor = floor;
		this.configurationCurrent = configurationCurrent;
	}

	/**
	 * Applies the membership of a configuration sequence number. To be called for every
	 * number in order: after a gap the coordinator waits as a new one does. A number that
	 * is not newer than the last one is ignored, so that concurrent callers never restore
	 * an earlier assignment.
	 * @param sequence the configuration sequence number
	 * @param members the members in force at this number
	 * @param isCoordinator whether this process is the service's coordinator at this
	 * number
	 */
	public synchronized void updateMembership(long sequence, Membership members, boolean isCoordinator) {
		if (this.handover.updateMembership(sequence, members, isCoordinator, this.clock.millis())) {
			this.membership = members;
		}
	}

	/**
	 * Processes a report and answers it. Only members are sent ejections, since the next
	 * coordinator waits only for the reports of members.
	 * @param report the report; its evidence counts only if a member sent it
	 * @return the verdicts for the reporter
	 */
	public synchronized PeerMessage.Verdicts report(PeerMessage.Report report) {
		long now = this.clock.millis();
		List<Target> listed = this.targets.get();
		List<Target> staying = staying(listed, now);
		String reporterDomain = reporterDomain(report);
		boolean mayEject = this.handover.mayEject(now) && this.configurationCurrent.getAsBoolean();
		trackTargets(listed, mayEject, now);
		if (reporterDomain != null) {
			chargeHeld(report, listed, now);
			this.handover.recordReport(report.processId(), report.sequence());
			recordEvidence(report, reporterDomain, listed, now);
			mayEject = this.handover.mayEject(now) && this.configurationCurrent.getAsBoolean();
		}
		updateEjections(staying, mayEject, now);
		// No further evidence arrives while this report is processed, so each target is
		// assessed once.
		Map<String, OutlierDetector.Assessment> assessments = new HashMap<>();
		staying.forEach((target) -> assessments.put(target.id(), this.detector.assess(target.id())));
		if (mayEject) {
			eject(staying, assessments, now);
		}
		return verdicts(staying, assessments, reporterDomain, mayEject, now);
	}

	/**
	 * Returns whether the members should be asked to report at once, since a target is
	 * near the threshold or was just ejected, and clears the request. All members are
	 * asked, not only those that see failures, so that the early reports do not bias the
	 * evidence.
	 * @return whether to ask the members; true at a bounded rate
	 */
	public synchronized boolean takeReportRequest() {
		boolean requested = this.reportRequestPending;
		this.reportRequestPending = false;
		return requested;
	}

	private @Nullable String reporterDomain(PeerMessage.Report report) {
		Member member = this.membership.member(report.hostId());
		return (member != null && member.processId().equals(report.processId())) ? member.failureDomain() : null;
	}

	// Charges the ejections that the reporter holds, even of targets missing from this
	// process's list: other hosts may list them, and this one may do so before the
	// ejection ends.
	private void chargeHeld(PeerMessage.Report report, List<Target> listed, long now) {
		Map<String, Integer> slots = new HashMap<>();
		listed.forEach((target) -> slots.put(target.id(), target.slots()));
		report.ejectedHeld()
			.forEach((held) -> this.ejectionBudget.charge(held.targetId(),
					slots.getOrDefault(held.targetId(), EjectionBudget.UNKNOWN_SLOTS), held.requiredBudget(), now));
	}

	private List<Target> staying(List<Target> listed, long now) {
		this.leavingUntil.values().removeIf((until) -> until <= now);
		return listed.stream()
			.filter((target) -> !target.leaving() && !this.leavingUntil.containsKey(target.id()))
			.toList();
	}

	// Targets listed before this process could observe them are assumed to have warmed
	// up.
	private void trackTargets(List<Target> listed, boolean mayEject, long now) {
		boolean treatAsWarmedUp = this.states.isEmpty() || !mayEject;
		Set<String> ids = new HashSet<>();
		for (Target target : listed) {
			ids.add(target.id());
			this.states.computeIfAbsent(target.id(),
					(id) -> treatAsWarmedUp ? EjectionState.warmedUp(now) : EjectionState.newlyListed(now));
		}
		if (this.states.size() > ids.size()) {
			this.states.keySet().retainAll(ids);
			this.detector.retain(ids);
			this.failureRates.retain(ids);
		}
	}

	private void recordEvidence(PeerMessage.Report report, String reporterDomain, List<Target> listed, long now) {
		Map<String, Target> byId = new HashMap<>();
		listed.forEach((target) -> byId.put(target.id(), target));
		List<PeerMessage.TargetEvidence> evidence = report.targets()
			.stream()
			.filter((target) -> byId.containsKey(target.targetId()))
			.toList();
		this.load.report(report.processId(), evidence, now);
		for (PeerMessage.TargetEvidence target : evidence) {
			if (target.leaving()) {
				this.leavingUntil.put(target.targetId(), now + HealthView.LEAVING_MARK_MILLIS);
			}
			Target observed = byId.get(target.targetId());
			if (observed == null) {
				continue;
			}
			this.failureRates.observe(target, now);
			this.detector.observe(new OutlierDetector.Observation(observed, report.processId(), reporterDomain, target,
					state(target.targetId()).warmingUp(now), now));
		}
	}

	private EjectionState state(String targetId) {
		return this.states.computeIfAbsent(targetId, (id) -> EjectionState.warmedUp(this.clock.millis()));
	}

	private void updateEjections(List<Target> staying, boolean mayEject, long now) {
		if (!mayEject) {
			// While this process may not eject, it does not know which ejections are in
			// force.
			this.states.values().stream().filter(EjectionState::ejected).forEach((state) -> state.readmit(now));
			this.couldEject = false;
			return;
		}
		if (!this.couldEject) {
			adoptHeldEjections(staying, now);
		}
		this.couldEject = true;
		readmit(staying, now);
		// The answer contains these ejections again, so they stay charged even if no
		// report has arrived for longer than a charge lasts.
		charge(staying, now);
	}

	private void eject(List<Target> staying, Map<String, OutlierDetector.Assessment> assessments, long now) {
		List<Target> bySeverity = new ArrayList<>(staying);
		bySeverity.sort(Comparator.comparingDouble((
				Target target) -> -assessments.getOrDefault(target.id(), OutlierDetector.Assessment.HEALTHY).severity())
			.thenComparing(Target::id));
		int budget = EjectionBudget.ejectableSlots(staying, this.floor.getAsDouble());
		Set<String> unhealthy = new HashSet<>();
		assessments.forEach((id, assessment) -> {
			if (assessment.unhealthy() && !state(id).ejected()) {
				unhealthy.add(id);
			}
		});
		this.swap.expirePending(unhealthy::contains, now);
		List<Target> overBudget = new ArrayList<>();
		boolean anyNearThreshold = false;
		for (Target target : bySeverity) {
			anyNearThreshold |= unhealthy.contains(target.id())
					|| (!state(target.id()).ejected() && this.detector.nearThreshold(target.id()));
			OutlierDetector.Assessment assessment = assessments.get(target.id());
			if (assessment != null && unhealthy.contains(target.id()) && this.swap.permitsEjectionOf(target.id())) {
				int required = this.ejectionBudget.requiredBudget(target, now);
				if (required <= budget) {
					state(target.id()).eject(now, required, assessment.reason());
					charge(List.of(target), now);
					this.swap.recordEjection(target.id());
					this.ejectionUnannounced = true;
				}
				else {
					overBudget.add(target);
				}
			}
		}
		release(overBudget, staying, budget, now);
		requestReports(anyNearThreshold, now);
	}

	private void requestReports(boolean anyNearThreshold, long now) {
		if (this.ejectionUnannounced) {
			boolean permitted = this.reportRequestBudget.takeForVerdict(now);
			this.ejectionUnannounced = !permitted;
			this.reportRequestPending |= permitted;
		}
		else {
			this.reportRequestPending |= anyNearThreshold && this.reportRequestBudget.take(now);
		}
	}

	private void release(List<Target> overBudget, List<Target> staying, int budget, long now) {
		List<Target> ejected = staying.stream()
			.filter((target) -> state(target.id()).ejectedForAtLeast(EjectionState.BASE_EJECTION_MILLIS, now))
			.toList();
		Set<String> expiring = new HashSet<>(this.ejectionBudget.chargedTargets());
		expiring.removeIf((id) -> this.states.containsKey(id) && state(id).ejected());
		this.swap.release(overBudget, ejected, expiring, budget, now)
			.forEach((target) -> state(target.id()).release(now));
	}

	// Continues the ejections that an earlier coordinator issued and that hosts still
	// hold. Charges from an earlier time as coordinator may remain although no host holds
	// them; ejections that do not fit together with all charges end.
	private void adoptHeldEjections(List<Target> staying, long now) {
		int budget = EjectionBudget.ejectableSlots(staying, this.floor.getAsDouble());
		for (Target target : staying) {
			int required = this.ejectionBudget.requiredBudget(target, now);
			if (this.ejectionBudget.isCharged(target.id(), now) && required <= budget) {
				state(target.id()).eject(now, required, "ejected by an earlier coordinator");
			}
		}
	}

	// Ejections that require more than the present budget end at once, as they do at
	// hosts that know the present targets.
	private void readmit(List<Target> staying, long now) {
		int budget = EjectionBudget.ejectableSlots(staying, this.floor.getAsDouble());
		Set<String> ids = new HashSet<>();
		for (Target target : staying) {
			ids.add(target.id());
			EjectionState state = state(target.id());
			if (state.ejected() && state.ejectionTimeElapsed(now)) {
				state.readmit(now);
				this.detector.readmitted(target.id());
				this.failureRates.forget(target.id());
			}
			else if (state.ejected() && state.requiredBudget() > budget) {
				state.release(now);
			}
		}
		// A leaving target does not count in the budget. If it stays after all, other
		// ejections may have used the budget by then.
		this.states.forEach((id, state) -> {
			if (state.ejected() && !ids.contains(id)) {
				state.readmit(now);
			}
		});
	}

	private void charge(List<Target> targets, long now) {
		for (Target target : targets) {
			EjectionState state = state(target.id());
			if (state.ejected()) {
				this.ejectionBudget.charge(target.id(), target.slots(), state.requiredBudget(), now);
			}
		}
	}

	private PeerMessage.Verdicts verdicts(List<Target> staying, Map<String, OutlierDetector.Assessment> assessments,
			@Nullable String reporterDomain, boolean mayEject, long now) {
		List<PeerMessage.Verdict> verdicts = new ArrayList<>();
		for (Target target : staying) {
			EjectionState state = state(target.id());
			OutlierDetector.Assessment assessment = assessments.getOrDefault(target.id(),
					OutlierDetector.Assessment.HEALTHY);
			boolean reducedWeight = assessment.unhealthy()
					|| (reporterDomain != null && assessment.avoidedBy().contains(reporterDomain));
			boolean ejectedForReporter = reporterDomain != null && state.ejected();
			verdicts.add(new PeerMessage.Verdict(target.id(), ejectedForReporter,
					ejectedForReporter ? state.requiredBudget() : 0,
					reducedWeight ? CapacityFloor.MIN_WEIGHT : state.weight(now), this.load.load(target.id()),
					assessment.severity(), state.ejected() ? state.reason() : assessment.reason()));
		}
		charge(staying, now);
		return new PeerMessage.Verdicts(this.service, verdicts, EjectionBudget.VERDICT_LIFETIME_MILLIS,
				!mayEject || reporterDomain == null, List.copyOf(this.leavingUntil.keySet()));
	}

}
