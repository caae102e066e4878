package org.plantainspur.core.reach;

import java.util.List;

/**
 * What a host tells the others of its paths to the targets.
 *
 * @param state whether it reaches targets at all
 * @param closedTargets identities of targets that it does not reach though it reaches
 * others, at most {@link #MAX_TARGETS}
 * @param reachedTargets identities of targets that have answered it recently though other
 * hosts do not reach them, at most {@link #MAX_TARGETS}
 */
public record HostReach(State state, List<String> closedTargets, List<String> reachedTargets) {

	/** The most targets of each kind that a host names, which bounds heartbeats. */
	public static final int MAX_TARGETS = 64;

	/** Told by a host that has nothing to report. */
	public static final HostReach NONE = new HostReach(State.UNKNOWN, List.of());

	public HostReach {
		closedTargets = List.copyOf(closedTargets);
		reachedTargets = List.copyOf(reachedTargets);
	}

	/**
	 * Creates a report without targets that other hosts do not reach.
	 * @param state whether the host reaches targets at all
	 * @param closedTargets identities of targets that it does not reach
	 */
	public HostReach(State state, List<String> closedTargets) {
		this(state, closedTargets, List.of());
	}

	/**
	 * Whether a host reaches targets.
	 */
	public enum State {

		/** The host has not connected to a target recently. */
		UNKNOWN,

		/** The host reaches targets. */
		CONNECTED,

		/** The host is cut off from all targets. */
		CUT_OFF

	}

}
