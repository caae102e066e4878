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
 * The coordinator of one service: pools the reports of all hosts and answers with
 * verdicts. Every host may run one; it ejects only while {@link #follow} says that this
 * process is responsible and only within the ejection budget. Calls come from the peer
 * handler and are serialized by a lock; none is on the path of a request.
 */
public final class HealthCoordinator {

	private final String service;

	private final Clock clock;

	private final HealthJudge judge;

	private final Supplier<List<Target>> targets;

	private final DoubleSupplier floor;

	private final BooleanSupplier current;

	private final Settlement settlement = new Settlement();

	private final EjectionLedger ledger = new EjectionLedger();

	private final FailureShares shares = new FailureShares();

	private final Exchange exchange = new Exchange(this.shares, this.ledger);

	private final PooledLoad load = new PooledLoad();

	private final Map<String, EjectionState> states = new HashMap<>();

	private final Map<String, Long> leavingUntil = new HashMap<>();

	private final ReportRequestBudget requests = new ReportRequestBudget();

	private boolean requestReports;

	// Whether an ejection is new and the members have not been asked since.
	private boolean announcing;

	private Membership membership = Membership.empty();

	private boolean wasSettled;

	/**
	 * Creates a coordinator that is not responsible yet.
	 * @param service the service's name
	 * @param clock the process clock
	 * @param judge who decides which targets are sick
	 * @param targets the service's targets as the platform last gave them
	 * @param floor the floor in force, a fraction of the slots from 0 to 1
	 * @param current whether this process's configuration is current; while it is not, it
	 * ejects nothing
	 */
	public HealthCoordinator(String service, Clock clock, HealthJudge judge, Supplier<List<Target>> targets,
			DoubleSupplier floor, BooleanSupplier current) {
		this.service = service;
		this.clock = clock;
		this.judge = judge;
		this.targets = targets;
		this.floor = floor;
		this.current = current;
	}

	/**
	 * Takes a change of the configuration sequence. To be called for every number in
	 * order: after a gap the coordinator waits as a new one does. A number that is not
	 * newer than the last one is ignored, so that calls from several threads never bring
	 * an earlier responsibility back.
	 * @param sequence the number
	 * @param members the members in force
	 * @param responsible whether this process is the service's coordinator
	 */
	public synchronized void follow(long sequence, Membership members, boolean responsible) {
		if (this.settlement.follow(sequence, members, responsible, this.clock.millis())) {
			this.membership = members;
		}
	}

	/**
	 * Answers a report. Only a member gets ejections, since the next coordinator waits
	 * for the reports of members only.
	 * @param report the report; its evidence counts only if a member sent it
	 * @return the verdicts for the reporter
	 */
	public synchronized PeerMessage.Verdicts report(PeerMessage.Report report) {
		long now = this.clock.millis();
		List<Target> listed = this.targets.get();
		List<Target> staying = staying(listed, now);
		String group = group(report);
		boolean settled = this.settlement.settled(now) && this.current.getAsBoolean();
		watch(listed, settled, now);
		if (group != null) {
			chargeHeld(report, listed, now);
			this.settlement.reported(report.processId(), report.sequence());
			take(report, group, listed, now);
			settled = this.settlement.settled(now) && this.current.getAsBoolean();
		}
		restore(staying, settled, now);
		// The judge learns nothing more for this report, so each target is assessed once.
		Map<String, HealthJudge.Assessment> assessments = new HashMap<>();
		staying.forEach((target) -> assessments.put(target.id(), this.judge.assess(target.id())));
		if (settled) {
			eject(staying, assessments, now);
		}
		return verdicts(staying, assessments, group, settled, now);
	}

	/**
	 * Returns whether the members should be asked to report at once, since a target is
	 * suspected or was just ejected, and forgets the request. All members are asked, not
	 * those with failures only, so that early reports do not bias the evidence.
	 * @return whether to ask them; the requests are bounded
	 */
	public synchronized boolean takeReportRequest() {
		boolean taken = this.requestReports;
		this.requestReports = false;
		return taken;
	}

	private @Nullable String group(PeerMessage.Report report) {
		Member member = this.membership.member(report.hostId());
		return (member != null && member.processId().equals(report.processId())) ? member.failureDomain() : null;
	}

	// A target that this process does not list may be listed at other hosts, and here
	// before the ejection ends.
	private void chargeHeld(PeerMessage.Report report, List<Target> listed, long now) {
		Map<String, Integer> slots = new HashMap<>();
		listed.forEach((target) -> slots.put(target.id(), target.slots()));
		report.ejectedHeld()
			.forEach((held) -> this.ledger.charge(held.targetId(),
					slots.getOrDefault(held.targetId(), EjectionLedger.UNKNOWN_SLOTS), held.requiredBudget(), now));
	}

	private List<Target> staying(List<Target> listed, long now) {
		this.leavingUntil.values().removeIf((until) -> until <= now);
		return listed.stream()
			.filter((target) -> !target.leaving() && !this.leavingUntil.containsKey(target.id()))
			.toList();
	}

	// Targets that were there before this process could know are taken as warm.
	private void watch(List<Target> listed, boolean settled, long now) {
		boolean first = this.states.isEmpty() || !settled;
		Set<String> ids = new HashSet<>();
		for (Target target : listed) {
			ids.add(target.id());
			this.states.computeIfAbsent(target.id(),
					(id) -> first ? EjectionState.warm(now) : EjectionState.fresh(now));
		}
		if (this.states.size() > ids.size()) {
			this.states.keySet().retainAll(ids);
			this.judge.retain(ids);
			this.shares.retain(ids);
		}
	}

	private void take(PeerMessage.Report report, String group, List<Target> listed, long now) {
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
			this.shares.observe(target, now);
			this.judge.observe(new HealthJudge.Observation(observed, report.processId(), group, target,
					state(target.targetId()).cold(now), now));
		}
	}

	private EjectionState state(String targetId) {
		return this.states.computeIfAbsent(targetId, (id) -> EjectionState.warm(this.clock.millis()));
	}

	private void restore(List<Target> staying, boolean settled, long now) {
		if (!settled) {
			// Without the right to eject, nothing is known to be in force.
			this.states.values().stream().filter(EjectionState::ejected).forEach((state) -> state.readmit(now));
			this.wasSettled = false;
			return;
		}
		if (!this.wasSettled) {
			adopt(staying, now);
		}
		this.wasSettled = true;
		readmit(staying, now);
		// Charges end while no report arrives, but the next answer carries these again.
		charge(staying, now);
	}

	private void eject(List<Target> staying, Map<String, HealthJudge.Assessment> assessments, long now) {
		List<Target> sickest = new ArrayList<>(staying);
		sickest.sort(Comparator.comparingDouble(
				(Target target) -> -assessments.getOrDefault(target.id(), HealthJudge.Assessment.HEALTHY).sickness())
			.thenComparing(Target::id));
		int budget = EjectionLedger.budget(staying, this.floor.getAsDouble());
		Set<String> sick = new HashSet<>();
		assessments.forEach((id, assessment) -> {
			if (assessment.sick() && !state(id).ejected()) {
				sick.add(id);
			}
		});
		this.exchange.review(sick::contains, now);
		List<Target> rejected = new ArrayList<>();
		boolean suspected = false;
		for (Target target : sickest) {
			suspected |= sick.contains(target.id())
					|| (!state(target.id()).ejected() && this.judge.suspects(target.id()));
			HealthJudge.Assessment assessment = assessments.get(target.id());
			if (assessment != null && sick.contains(target.id()) && this.exchange.permits(target.id())) {
				int required = this.ledger.requiredBudget(target, now);
				if (required <= budget) {
					state(target.id()).eject(now, required, assessment.reason());
					charge(List.of(target), now);
					this.exchange.ejected(target.id());
					this.announcing = true;
				}
				else {
					rejected.add(target);
				}
			}
		}
		giveBack(rejected, staying, budget, now);
		requestReports(suspected, now);
	}

	private void requestReports(boolean suspected, long now) {
		if (this.announcing) {
			boolean asked = this.requests.takeForVerdict(now);
			this.announcing = !asked;
			this.requestReports |= asked;
		}
		else {
			this.requestReports |= suspected && this.requests.take(now);
		}
	}

	private void giveBack(List<Target> rejected, List<Target> staying, int budget, long now) {
		List<Target> ejected = staying.stream()
			.filter((target) -> state(target.id()).ejectedFor(EjectionState.FIRST_HOLD_MILLIS, now))
			.toList();
		Set<String> ending = new HashSet<>(this.ledger.charged());
		ending.removeIf((id) -> this.states.containsKey(id) && state(id).ejected());
		this.exchange.giveBack(rejected, ejected, ending, budget, now)
			.forEach((target) -> state(target.id()).giveBack(now));
	}

	// Takes over the ejections that an earlier coordinator issued and that hosts hold.
	// Charges from an earlier time as the coordinator may stand beside these and no
	// longer be held; what does not fit beside all of them ends.
	private void adopt(List<Target> staying, long now) {
		int budget = EjectionLedger.budget(staying, this.floor.getAsDouble());
		for (Target target : staying) {
			int required = this.ledger.requiredBudget(target, now);
			if (this.ledger.charged(target.id(), now) && required <= budget) {
				state(target.id()).eject(now, required, "ejected by an earlier coordinator");
			}
		}
	}

	// Ejections that require a larger budget than there is now end at once, as at hosts
	// that know the present targets.
	private void readmit(List<Target> staying, long now) {
		int budget = EjectionLedger.budget(staying, this.floor.getAsDouble());
		Set<String> ids = new HashSet<>();
		for (Target target : staying) {
			ids.add(target.id());
			EjectionState state = state(target.id());
			if (state.ejected() && state.holdEnded(now)) {
				state.readmit(now);
				this.judge.readmitted(target.id());
				this.shares.forget(target.id());
			}
			else if (state.ejected() && state.requiredBudget() > budget) {
				state.giveBack(now);
			}
		}
		// A target that leaves takes no part in the budget; if it stays after all, the
		// budget may be in use by then.
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
				this.ledger.charge(target.id(), target.slots(), state.requiredBudget(), now);
			}
		}
	}

	private PeerMessage.Verdicts verdicts(List<Target> staying, Map<String, HealthJudge.Assessment> assessments,
			@Nullable String group, boolean settled, long now) {
		List<PeerMessage.Verdict> verdicts = new ArrayList<>();
		for (Target target : staying) {
			EjectionState state = state(target.id());
			HealthJudge.Assessment assessment = assessments.getOrDefault(target.id(), HealthJudge.Assessment.HEALTHY);
			boolean avoided = assessment.sick() || (group != null && assessment.avoidedBy().contains(group));
			boolean withheld = group != null && state.ejected();
			verdicts.add(new PeerMessage.Verdict(target.id(), withheld, withheld ? state.requiredBudget() : 0,
					avoided ? FloorGuard.LEAST_WEIGHT : state.weight(now), this.load.load(target.id()),
					assessment.sickness(), state.ejected() ? state.reason() : assessment.reason()));
		}
		charge(staying, now);
		return new PeerMessage.Verdicts(this.service, verdicts, EjectionLedger.LIFETIME_MILLIS,
				!settled || group == null, List.copyOf(this.leavingUntil.keySet()));
	}

}
