package org.plantainspur.core.reach;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * What is known of the paths of one other host. Each field is written on its own; a
 * reader that sees an older one only chooses another host. Thread-safe.
 */
final class HostBelief {

	/** The relayed attempts that one host runs for this host at a time. */
	static final int MAX_IN_FLIGHT = 16;

	/** How long a host counts as cut off after it has said so. */
	static final long CUT_OFF_VALID_MS = 2_000;

	/** How long a host is avoided that did not reach a target and may be cut off. */
	static final long SUSPECT_MS = 300;

	/** How long a target is not sent over a host that did not reach it. */
	static final long UNREACHED_MS = 2_000;

	private final AtomicInteger inFlight = new AtomicInteger();

	/** Until when the host counts as one that does not reach a target. */
	private final ConcurrentMap<String, Long> unreachedUntilMs = new ConcurrentHashMap<>();

	/** When a target last answered the host. */
	private final ConcurrentMap<String, Long> reachedMs = new ConcurrentHashMap<>();

	private volatile long cutOffUntilMs = PathState.NEVER;

	private volatile long avoidUntilMs = PathState.NEVER;

	private volatile long busyUntilMs = PathState.NEVER;

	private volatile long provenMs = PathState.NEVER;

	void receive(HostReach reach, long nowMs) {
		this.cutOffUntilMs = (reach.state() == HostReach.State.CUT_OFF) ? nowMs + CUT_OFF_VALID_MS : PathState.NEVER;
		if (reach.state() == HostReach.State.CONNECTED) {
			this.provenMs = nowMs;
		}
		else if (!reach.equals(HostReach.NONE)) {
			this.provenMs = PathState.NEVER;
		}
		reach.reachedTargets().forEach((target) -> reportReached(target, nowMs));
		reach.closedTargets().forEach((target) -> reportUnreached(target, nowMs));
	}

	// What a host tells of itself is repeated with each of its heartbeats, so it is valid
	// for less time than a response.
	private void reportReached(String targetId, long nowMs) {
		this.reachedMs.merge(targetId, nowMs - DirectPaths.PROOF_VALID_MS + DirectPaths.REACHED_VALID_MS, Math::max);
		this.unreachedUntilMs.remove(targetId);
	}

	private void reportUnreached(String targetId, long nowMs) {
		this.reachedMs.remove(targetId);
		this.unreachedUntilMs.put(targetId, nowMs + UNREACHED_MS);
	}

	void recordReached(String targetId, long nowMs) {
		this.provenMs = nowMs;
		this.reachedMs.put(targetId, nowMs);
		this.unreachedUntilMs.remove(targetId);
	}

	void recordUnreached(String targetId, boolean reachesOthers, long nowMs) {
		reportUnreached(targetId, nowMs);
		this.provenMs = reachesOthers ? nowMs : PathState.NEVER;
		if (!reachesOthers) {
			avoid(nowMs + SUSPECT_MS);
		}
	}

	void recordCutOff(long nowMs) {
		this.cutOffUntilMs = nowMs + CUT_OFF_VALID_MS;
		this.provenMs = PathState.NEVER;
	}

	void avoid(long untilMs) {
		this.avoidUntilMs = untilMs;
	}

	void recordBusy(long untilMs) {
		this.busyUntilMs = untilMs;
	}

	void recordSent() {
		this.inFlight.incrementAndGet();
	}

	void recordEnd() {
		this.inFlight.decrementAndGet();
	}

	void removeOld(long nowMs) {
		this.unreachedUntilMs.values().removeIf((untilMs) -> nowMs >= untilMs);
		this.reachedMs.values().removeIf((answeredMs) -> nowMs - answeredMs >= DirectPaths.PROOF_VALID_MS);
	}

	boolean namesTargets() {
		return !this.unreachedUntilMs.isEmpty() || !this.reachedMs.isEmpty();
	}

	void addUnreached(Set<String> targets, long nowMs) {
		this.unreachedUntilMs.forEach((target, untilMs) -> {
			if (nowMs < untilMs) {
				targets.add(target);
			}
		});
	}

	boolean isCutOff(long nowMs) {
		return nowMs < this.cutOffUntilMs;
	}

	boolean isUsable(long nowMs) {
		return !isCutOff(nowMs) && nowMs >= this.avoidUntilMs;
	}

	boolean isProven(long nowMs) {
		return nowMs - this.provenMs < DirectPaths.PROOF_VALID_MS;
	}

	boolean hasRoom(long nowMs) {
		return nowMs >= this.busyUntilMs && this.inFlight.get() < MAX_IN_FLIGHT;
	}

	long busyForMs(long nowMs) {
		return this.busyUntilMs - nowMs;
	}

	boolean mayReach(String targetId, long nowMs) {
		return isUsable(nowMs) && hasRoom(nowMs) && !hasNotReached(targetId, nowMs);
	}

	boolean reaches(String targetId, long nowMs) {
		return nowMs - this.reachedMs.getOrDefault(targetId, PathState.NEVER) < DirectPaths.PROOF_VALID_MS;
	}

	boolean reachesAllBut(String targetId, long nowMs) {
		return isProven(nowMs) && hasNotReached(targetId, nowMs);
	}

	private boolean hasNotReached(String targetId, long nowMs) {
		return nowMs < this.unreachedUntilMs.getOrDefault(targetId, PathState.NEVER);
	}

}
