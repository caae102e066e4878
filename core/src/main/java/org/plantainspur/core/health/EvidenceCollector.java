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
 * Counts outcomes by target and account between two reports. Recording uses atomics only;
 * {@link #drain(String)} is called by one background task.
 */
public final class EvidenceCollector implements OutcomeRecorder {

	/**
	 * A reset is held back for this long, so that the quarantine of a request that
	 * crashes targets is known before its crashes are reported.
	 */
	static final long RESET_HOLD_MILLIS = 1000;

	/** More targets than this are not reported, which bounds a report's size. */
	static final int MAX_TARGETS = 512;

	private static final int MAX_RESETS_HELD = 1024;

	private final Clock clock;

	private final Quarantine quarantine;

	private final ToIntFunction<String> inFlight;

	private final ConcurrentMap<String, ConcurrentMap<String, TargetTally>> services = new ConcurrentHashMap<>();

	private final ConcurrentMap<String, Long> leavingSeen = new ConcurrentHashMap<>();

	private final ConcurrentMap<String, OverdueLimit> limits = new ConcurrentHashMap<>();

	private final ConcurrentLinkedQueue<HeldReset> resets = new ConcurrentLinkedQueue<>();

	private final AtomicInteger resetsHeld = new AtomicInteger();

	/**
	 * Creates a collector.
	 * @param clock the process clock
	 * @param quarantine the requests whose resets are not evidence against targets
	 * @param inFlight the requests in flight from this host by target id
	 */
	public EvidenceCollector(Clock clock, Quarantine quarantine, ToIntFunction<String> inFlight) {
		this.clock = clock;
		this.quarantine = quarantine;
		this.inFlight = inFlight;
	}

	@Override
	public Running began(Target target, String accountId) {
		return tally(target.service(), target.id()).began(accountId, this.clock.millis());
	}

	@Override
	public void record(Outcome outcome) {
		if (outcome.kind() == Kind.RESET && this.resetsHeld.get() < MAX_RESETS_HELD) {
			this.resetsHeld.incrementAndGet();
			this.resets.add(new HeldReset(outcome, this.clock.millis()));
			return;
		}
		count(outcome);
	}

	@Override
	public void leaving(Target target) {
		this.leavingSeen.put(target.id(), this.clock.millis());
		tally(target.service(), target.id());
	}

	/**
	 * Returns whether this host saw a sign of its own, within the lifetime of such a
	 * mark, that a target is leaving.
	 * @param targetId the target
	 * @return whether it is leaving
	 */
	public boolean seesLeaving(String targetId) {
		Long seen = this.leavingSeen.get(targetId);
		return seen != null && this.clock.millis() - seen < HealthView.LEAVING_MARK_MILLIS;
	}

	/**
	 * Takes the outcomes of a service since the last call.
	 * @param service the service's name
	 * @return the outcomes by target, at most {@value #MAX_TARGETS}
	 */
	public List<PeerMessage.TargetEvidence> drain(String service) {
		countHeldResets();
		this.leavingSeen.keySet().removeIf((id) -> !seesLeaving(id));
		Map<String, TargetTally> tallies = this.services.getOrDefault(service, new ConcurrentHashMap<>());
		List<PeerMessage.TargetEvidence> evidence = new ArrayList<>();
		long startedBefore = limit(service).startedBefore(this.clock.millis());
		for (Map.Entry<String, TargetTally> entry : tallies.entrySet()) {
			if (evidence.size() == MAX_TARGETS) {
				break;
			}
			String id = entry.getKey();
			evidence.add(entry.getValue().drain(id, this.inFlight.applyAsInt(id), seesLeaving(id), startedBefore));
		}
		return evidence;
	}

	/**
	 * Forgets targets that the platform no longer lists.
	 * @param service the service's name
	 * @param targets the targets that it lists
	 */
	public void retain(String service, List<Target> targets) {
		List<String> ids = targets.stream().map(Target::id).toList();
		this.services.getOrDefault(service, new ConcurrentHashMap<>()).keySet().retainAll(ids);
	}

	private void countHeldResets() {
		long now = this.clock.millis();
		ArrayDeque<HeldReset> due = new ArrayDeque<>();
		HeldReset head = this.resets.peek();
		while (head != null && now - head.atMillis() >= RESET_HOLD_MILLIS) {
			due.add(this.resets.remove());
			this.resetsHeld.decrementAndGet();
			head = this.resets.peek();
		}
		for (HeldReset reset : due) {
			if (!this.quarantine.holds(reset.outcome().fingerprint())) {
				count(reset.outcome());
			}
		}
	}

	private void count(Outcome outcome) {
		if (outcome.kind() == Kind.SUCCESS) {
			limit(outcome.target().service()).answered(outcome.latencyMillis());
		}
		tally(outcome.target().service(), outcome.target().id()).count(outcome);
	}

	private OverdueLimit limit(String service) {
		return this.limits.computeIfAbsent(service, (name) -> new OverdueLimit());
	}

	private TargetTally tally(String service, String targetId) {
		return this.services.computeIfAbsent(service, (name) -> new ConcurrentHashMap<>())
			.computeIfAbsent(targetId, (id) -> new TargetTally());
	}

	private record HeldReset(Outcome outcome, long atMillis) {
	}

}
