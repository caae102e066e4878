package org.plantainspur.core.health;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.plantainspur.core.currency.ReadAgeCurrencyRule;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.time.ClockMargin;

/**
 * Decides when a new coordinator may eject: when no host can hold a verdict that this
 * coordinator does not know. That is so once every member, and every removed process that
 * may still hold a verdict, has reported to it at or after the sequence number that made
 * it the coordinator, since such a process accepts no more verdicts of an earlier
 * coordinator. Otherwise it is so once the earlier coordinator has been fenced and its
 * verdicts have expired.
 */
final class CoordinatorHandover {

	private static final long STILL_MEMBER = Long.MAX_VALUE;

	/**
	 * The time after which an earlier coordinator has been fenced and the verdicts that
	 * it issued until then have expired.
	 */
	private static final long MAX_WAIT_MILLIS = ClockMargin
		.lengthen(ReadAgeCurrencyRule.FENCING_TIMEOUT_MILLIS + EjectionBudget.VERDICT_LIFETIME_MILLIS);

	/**
	 * The removal time by process id, in milliseconds of the process clock, or
	 * {@link #STILL_MEMBER}. Removed processes are kept while they may still hold a
	 * verdict.
	 */
	private final Map<String, Long> removedAt = new HashMap<>();

	/** The processes that have yet to report to this coordinator. */
	private final Set<String> awaitedProcesses = new HashSet<>();

	private boolean coordinator;

	/** Since when this process has applied every sequence number. */
	private long gaplessSince;

	private long coordinatorSince;

	private long coordinatorSinceSequence;

	private long lastSequence = -1;

	/**
	 * Applies the membership of a configuration sequence number.
	 * @param sequence the configuration sequence number
	 * @param membership the members in force at this number
	 * @param isCoordinator whether this process is the coordinator at this number
	 * @param nowMillis the current reading of the process clock in milliseconds
	 * @return whether the number is newer than the last one; otherwise nothing changes
	 */
	boolean updateMembership(long sequence, Membership membership, boolean isCoordinator, long nowMillis) {
		if (sequence <= this.lastSequence) {
			return false;
		}
		// Skipped sequence numbers may have made another process the coordinator for a
		// while.
		boolean skipped = this.lastSequence < 0 || sequence > this.lastSequence + 1;
		if (skipped) {
			this.gaplessSince = nowMillis;
		}
		updateRemovedMembers(membership, nowMillis);
		if (isCoordinator && (skipped || !this.coordinator)) {
			this.coordinatorSince = nowMillis;
			this.coordinatorSinceSequence = sequence;
			this.awaitedProcesses.clear();
			this.awaitedProcesses.addAll(this.removedAt.keySet());
		}
		this.coordinator = isCoordinator;
		this.lastSequence = sequence;
		return true;
	}

	private void updateRemovedMembers(Membership membership, long nowMillis) {
		Set<String> present = membership.members().stream().map(Member::processId).collect(Collectors.toSet());
		this.removedAt.replaceAll((id, removed) -> (removed == STILL_MEMBER && !present.contains(id))
				? Long.valueOf(nowMillis) : removed);
		present.forEach((id) -> this.removedAt.put(id, STILL_MEMBER));
		this.removedAt.values()
			.removeIf((removed) -> removed != STILL_MEMBER && nowMillis - removed >= MAX_WAIT_MILLIS);
	}

	boolean isCoordinator() {
		return this.coordinator;
	}

	void recordReport(String processId, long sequence) {
		if (sequence >= this.coordinatorSinceSequence) {
			this.awaitedProcesses.remove(processId);
		}
	}

	boolean mayEject(long nowMillis) {
		if (!this.coordinator) {
			return false;
		}
		// A process that was removed at a skipped sequence number is not awaited, but it
		// may still hold a verdict.
		boolean knowsRemovedMembers = nowMillis - this.gaplessSince >= MAX_WAIT_MILLIS;
		return nowMillis - this.coordinatorSince >= MAX_WAIT_MILLIS
				|| (knowsRemovedMembers && this.awaitedProcesses.isEmpty());
	}

}
