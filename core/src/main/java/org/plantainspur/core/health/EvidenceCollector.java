package org.plantainspur.core.health;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToIntFunction;

import org.plantainspur.core.peer.PeerMessage;
import org.plantainspur.core.routing.Target;
import org.plantainspur.core.time.Clock;

/**
 * Counts outcomes by target and account between two reports. Any thread may record, with
 * concurrent maps and atomic counters; only one background task may call
 * {@link #drain(String)}.
 */
public final class EvidenceCollector implements OutcomeRecorder {

	/**
	 * How long a reset is held back before it is counted, so that the quarantine of a
	 * request that crashes targets is known before its crashes are reported.
	 */
	static final long RESET_HOLD_MILLIS = 1000;

	/** The largest number of targets in a report, which bounds its size. */
	static final int MAX_TARGETS = 512;

	/**
	 * The largest number of resets held back, which bounds the memory used. Further ones
	 * are counted at once.
	 */
	private static final int MAX_HELD_RESETS = 1024;

	private final Clock clock;

	private final RequestQuarantine quarantine;

	private final ToIntFunction<String> inFlight;

	private final ConcurrentMap<String, ConcurrentMap<String, TargetOutcomeCounter>> countersByService = new ConcurrentHashMap<>();

	private final ConcurrentMap<String, Long> leavingObservedAt = new ConcurrentHashMap<>();

	private final ConcurrentMap<String, OverdueLimit> overdueLimits = new ConcurrentHashMap<>();

	private final ConcurrentLinkedQueue<HeldReset> heldResets = new ConcurrentLinkedQueue<>();

	private final AtomicInteger heldResetCount = new AtomicInteger();

	/**
	 * Creates an empty collector.
	 * @param clock the process clock
	 * @param quarantine the requests whose resets are not evidence against targets
	 * @param inFlight returns the number of requests in flight from this host by target
	 * id
	 */
	public EvidenceCollector(Clock clock, RequestQuarantine quarantine, ToIntFunction<String> inFlight) {
		this.clock = clock;
		this.quarantine = quarantine;
		this.inFlight = inFlight;
	}

	@Override
	public InFlightDispatch dispatchStarted(Target target, String accountId) {
		return counter(target.service(), target.id()).dispatchStarted(accountId, this.clock.millis());
	}

	@Override
	public void record(Outcome outcome) {
		if (outcome.kind() == Kind.RESET && this.heldResetCount.get() < MAX_HELD_RESETS) {
			this.heldResetCount.incrementAndGet();
			this.heldResets.add(new HeldReset(outcome, this.clock.millis()));
			return;
		}
		count(outcome);
	}

	@Override
	public void targetLeaving(Target target) {
		this.leavingObservedAt.put(target.id(), this.clock.millis());
		counter(target.service(), target.id());
	}

	/**
	 * Returns whether a target has announced to this host, within
	 * {@link HealthView#LEAVING_MARK_MILLIS}, that it is leaving.
	 * @param targetId the target's id
	 * @return whether the target is leaving
	 */
	public boolean observedLeaving(String targetId) {
		Long observedAt = this.leavingObservedAt.get(targetId);
		return observedAt != null && this.clock.millis() - observedAt < HealthView.LEAVING_MARK_MILLIS;
	}

	/**
	 * Returns the outcomes of a service since the last call and resets the counters. The
	 * counters of targets that do not fit keep their counts.
	 * @param service the service's name
	 * @return one entry for each of at most {@value #MAX_TARGETS} targets
	 */
	public List<PeerMessage.TargetEvidence> drain(String service) {
		countDueResets();
		this.leavingObservedAt.keySet().removeIf((id) -> !observedLeaving(id));
		Map<String, TargetOutcomeCounter> counters = this.countersByService.getOrDefault(service,
				new ConcurrentHashMap<>());
		List<PeerMessage.TargetEvidence> evidence = new ArrayList<>();
		long overdueIfStartedBefore = overdueLimit(service).overdueIfStartedBefore(this.clock.millis());
		for (Map.Entry<String, TargetOutcomeCounter> entry : counters.entrySet()) {
			if (evidence.size() == MAX_TARGETS) {
				break;
			}
			String id = entry.getKey();
			evidence.add(entry.getValue()
				.drain(id, this.inFlight.applyAsInt(id), observedLeaving(id), overdueIfStartedBefore));
		}
		return evidence;
	}

	/**
	 * Removes the counters of targets that the platform no longer lists.
	 * @param service the service's name
	 * @param targets the targets that the platform lists
	 */
	public void retain(String service, List<Target> targets) {
		List<String> ids = targets.stream().map(Target::id).toList();
		this.countersByService.getOrDefault(service, new ConcurrentHashMap<>()).keySet().retainAll(ids);
	}

	private void countDueResets() {
		long now = this.clock.millis();
		ArrayDeque<HeldReset> due = new ArrayDeque<>();
		HeldReset head = this.heldResets.peek();
		while (head != null && now - head.atMillis() >= RESET_HOLD_MILLIS) {
			due.add(this.heldResets.remove());
			this.heldResetCount.decrementAndGet();
			head = this.heldResets.peek();
		}
		for (HeldReset reset : due) {
			if (!this.quarantine.quarantined(reset.outcome().fingerprint())) {
				count(reset.outcome());
			}
		}
	}

	private void count(Outcome outcome) {
		if (outcome.kind() == Kind.SUCCESS) {
			overdueLimit(outcome.target().service()).recordLatency(outcome.latencyMillis());
		}
		counter(outcome.target().service(), outcome.target().id()).count(outcome);
	}

	private OverdueLimit overdueLimit(String service) {
		return this.overdueLimits.computeIfAbsent(service, (name) -> new OverdueLimit());
	}

	private TargetOutcomeCounter counter(String service, String targetId) {
		return this.countersByService.computeIfAbsent(service, (name) -> new ConcurrentHashMap<>())
			.computeIfAbsent(targetId, (id) -> new TargetOutcomeCounter());
	}

	private record HeldReset(Outcome outcome, long atMillis) {
	}

}
