package org.plantainspur.core.reach;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.target.ConnectFailure;

/**
 * The state of one path, as an immutable value. A path that closes again soon after it
 * was opened must prove itself for a time that doubles with each relapse, so that a path
 * that comes and goes is not used by turns.
 *
 * @param phase whether the path may be used
 * @param changedMs when it last opened, closed or was put on trial, in the clock's
 * milliseconds
 * @param provenMs when the target last gave a sign on it
 * @param failedMs when a connect last failed
 * @param failure how that connect failed, {@code null} if none did
 * @param relapses how often the path has closed soon after it was opened
 * @param stableSinceMs since when all connects of a closed path have succeeded,
 * {@link #NEVER} if the last one failed
 */
record PathState(Phase phase, long changedMs, long provenMs, long failedMs, @Nullable ConnectFailure failure,
		int relapses, long stableSinceMs) {

	static final long NEVER = Long.MIN_VALUE / 4;

	/** A path that closes within this time after it was opened has relapsed. */
	static final long RELAPSE_MS = 10_000;

	/** How long a path must prove itself after its first relapse. */
	static final long FIRST_HOLD_MS = 2_000;

	private static final int MAX_DOUBLINGS = 2;

	static final PathState INITIAL = new PathState(Phase.OPEN, NEVER, NEVER, NEVER, null, 0, NEVER);

	/** Returns the state after a connect that succeeded. */
	PathState connected(long nowMs) {
		if (this.phase == Phase.OPEN) {
			int remaining = (nowMs - this.changedMs < RELAPSE_MS) ? this.relapses : 0;
			return new PathState(Phase.OPEN, this.changedMs, nowMs, this.failedMs, this.failure, remaining, NEVER);
		}
		long stableMs = (this.stableSinceMs == NEVER) ? nowMs : this.stableSinceMs;
		boolean opens = nowMs - stableMs >= holdMs();
		return new PathState(opens ? Phase.OPEN : this.phase, opens ? nowMs : this.changedMs, nowMs, this.failedMs,
				this.failure, this.relapses, opens ? NEVER : stableMs);
	}

	/** Returns the state after a response on a connection that is already open. */
	PathState answered(long nowMs) {
		return new PathState(this.phase, this.changedMs, nowMs, this.failedMs, this.failure, this.relapses,
				this.stableSinceMs);
	}

	/**
	 * Returns the state after a connect that failed. One that began before the path was
	 * opened or put on trial says nothing of it.
	 */
	PathState failed(ConnectFailure newFailure, long startedMs, long nowMs) {
		if (this.phase != Phase.CLOSED && startedMs < this.changedMs) {
			return this;
		}
		if (this.phase != Phase.OPEN) {
			return new PathState(Phase.CLOSED, this.changedMs, this.provenMs, nowMs, newFailure, this.relapses, NEVER);
		}
		int newRelapses = (nowMs - this.changedMs < RELAPSE_MS) ? this.relapses + 1 : 0;
		return new PathState(Phase.CLOSED, nowMs, this.provenMs, nowMs, newFailure, newRelapses, NEVER);
	}

	/** Returns a closed path as one that the next request may try. */
	PathState onTrial(long nowMs) {
		return (this.phase == Phase.CLOSED && this.relapses == 0) ? new PathState(Phase.TRIAL, nowMs, this.provenMs,
				this.failedMs, this.failure, this.relapses, this.stableSinceMs) : this;
	}

	/** Returns 1 if the path is closed, else 0. */
	int closedCount() {
		return (this.phase == Phase.CLOSED) ? 1 : 0;
	}

	private long holdMs() {
		return (this.relapses == 0) ? 0 : FIRST_HOLD_MS << Math.min(MAX_DOUBLINGS, this.relapses - 1);
	}

	enum Phase {

		/** The path may be used. */
		OPEN,

		/** Connects have failed. */
		CLOSED,

		/**
		 * Connects have failed, but other paths that closed at the same time have opened
		 * again.
		 */
		TRIAL

	}

}
