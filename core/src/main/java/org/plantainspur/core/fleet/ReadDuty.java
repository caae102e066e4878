package org.plantainspur.core.fleet;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Decides whether this host reads the store itself. Calls to the store and bytes to
 * another region are billed, so one host of each failure domain reads for all; the others
 * take whole tables and changes from it. When what they hear is too old they begin to
 * read in the order of their names, twice as many at each step, until one of them
 * succeeds. Answers the load of many hosts on one store, at their common start as well,
 * without making a host that is in touch with the store depend on one that is not.
 */
public final class ReadDuty {

	/**
	 * What is left of the time to apply a change once the first standby begins to read:
	 * the steps of the others, a call to another region, and a beat.
	 */
	static final long RESERVE_MS = 700;

	/** A host that took over has read and told the others by then. */
	static final long STEP_MS = 100;

	/** At the start a whole read from another region takes longer. */
	static final long START_STEP_MS = 250;

	/**
	 * A host that began to read goes on for this long, so that duty does not change
	 * often.
	 */
	static final long KEEP_MS = 1_000;

	private final long largestAgeMs;

	private long readsUntilMs = Long.MIN_VALUE;

	private long firstDecisionMs = Long.MIN_VALUE;

	/**
	 * Creates the duty of a host that has read nothing.
	 * @param applyMs the time within which a change must be in force, in milliseconds
	 */
	public ReadDuty(long applyMs) {
		this.largestAgeMs = applyMs - RESERVE_MS;
	}

	/**
	 * Decides what to do now.
	 * @param rank the position of this host among those of its failure domain, 0 for the
	 * first
	 * @param complete whether this host has read all tables once
	 * @param ownVersion the sum of the versions of its tables
	 * @param others what the other hosts of the failure domain have read
	 * @param now the reading of the clock
	 * @return the decision
	 */
	public Decision decide(int rank, boolean complete, long ownVersion, List<Reading> others, long now) {
		if (this.firstDecisionMs == Long.MIN_VALUE) {
			this.firstDecisionMs = now;
		}
		long youngest = Long.MAX_VALUE;
		Reading ahead = null;
		for (Reading other : others) {
			youngest = Math.min(youngest, other.ageMs());
			if (other.version() > ownVersion && (ahead == null || other.ageMs() < ahead.ageMs())) {
				ahead = other;
			}
		}
		boolean mustRead = complete ? rank == 0 || youngest > this.largestAgeMs + STEP_MS * step(rank)
				: ahead == null && now - this.firstDecisionMs >= START_STEP_MS * step(rank);
		if (mustRead) {
			this.readsUntilMs = now + KEEP_MS;
		}
		return new Decision(now <= this.readsUntilMs, ahead);
	}

	// 0 for the first host, 1 for the next, 2 for the next two, 3 for the next four.
	private static int step(int rank) {
		return Integer.SIZE - Integer.numberOfLeadingZeros(rank);
	}

	/**
	 * What another host has read.
	 *
	 * @param beat its last beat
	 * @param version the sum of the versions of its tables
	 * @param ageMs the time since the store answered it, in milliseconds
	 */
	public record Reading(HostBeat beat, long version, long ageMs) {
	}

	/**
	 * What to do now.
	 *
	 * @param readStore whether to follow the store
	 * @param ahead the host to take rows from, {@code null} if none knows more
	 */
	public record Decision(boolean readStore, @Nullable Reading ahead) {
	}

}
