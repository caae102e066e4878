package org.plantainspur.core.health;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.plantainspur.core.currency.FencingByAge;
import org.plantainspur.core.membership.Member;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.time.ClockMargin;

/**
 * Tells when a coordinator may eject: when no host can hold a verdict that this
 * coordinator does not know. That is so once every member has reported to it at the
 * sequence number that made it the coordinator, since such a member accepts no verdict of
 * an earlier coordinator any more, or else once the earlier coordinator has been fenced
 * and its verdicts have expired.
 */
final class Settlement {

	private static final long PRESENT = Long.MAX_VALUE;

	private static final long WAIT_MILLIS = ClockMargin
		.lengthen(FencingByAge.FENCING_TIMEOUT_MILLIS + EjectionLedger.LIFETIME_MILLIS);

	/** Members, and removed ones that may still hold a verdict. */
	private final Map<String, Long> removedAt = new HashMap<>();

	private final Set<String> awaited = new HashSet<>();

	private boolean responsible;

	private long followedSince;

	private long gainedAt;

	private long gainSequence;

	private long lastSequence = -1;

	/**
	 * Takes a change of the sequence.
	 * @param sequence its number
	 * @param membership the members in force
	 * @param responsibleNow whether this process is the coordinator
	 * @param nowMillis the current reading of the process clock
	 * @return whether the number is newer than the last one; otherwise nothing changes
	 */
	boolean follow(long sequence, Membership membership, boolean responsibleNow, long nowMillis) {
		if (sequence <= this.lastSequence) {
			return false;
		}
		// Numbers that were skipped may have made another process the coordinator for a
		// while.
		boolean skipped = this.lastSequence < 0 || sequence > this.lastSequence + 1;
		if (skipped) {
			this.followedSince = nowMillis;
		}
		followMembers(membership, nowMillis);
		if (responsibleNow && (skipped || !this.responsible)) {
			this.gainedAt = nowMillis;
			this.gainSequence = sequence;
			this.awaited.clear();
			this.awaited.addAll(this.removedAt.keySet());
		}
		this.responsible = responsibleNow;
		this.lastSequence = sequence;
		return true;
	}

	private void followMembers(Membership membership, long nowMillis) {
		Set<String> present = membership.members().stream().map(Member::processId).collect(Collectors.toSet());
		this.removedAt.replaceAll(
				(id, removed) -> (removed == PRESENT && !present.contains(id)) ? Long.valueOf(nowMillis) : removed);
		present.forEach((id) -> this.removedAt.put(id, PRESENT));
		this.removedAt.values().removeIf((removed) -> removed != PRESENT && nowMillis - removed >= WAIT_MILLIS);
	}

	boolean responsible() {
		return this.responsible;
	}

	void reported(String processId, long sequence) {
		if (sequence >= this.gainSequence) {
			this.awaited.remove(processId);
		}
	}

	boolean settled(long nowMillis) {
		if (!this.responsible) {
			return false;
		}
		boolean knowsRemoved = nowMillis - this.followedSince >= WAIT_MILLIS;
		return nowMillis - this.gainedAt >= WAIT_MILLIS || (knowsRemoved && this.awaited.isEmpty());
	}

}
