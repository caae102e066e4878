package org.plantainspur.core.reach;

import java.util.List;

/**
 * What a host tells the others of its paths to the targets.
 *
 * @param state whether it reaches targets at all
 * @param closedTargets identities of targets that it does not reach though it reaches
 * others, at most {@link #MAX_CLOSED_TARGETS}
 */
public record HostReach(State state, List<String> closedTargets) {

	/** The most targets that a host names, which bounds the size of heartbeats. */
	public static final int MAX_CLOSED_TARGETS = 64;

	/** Told by a host that has nothing to report. */
	public static final HostReach NONE = new HostReach(State.UNKNOWN, List.of());

	public HostReach {
		closedTargets = List.copyOf(closedTargets);
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
