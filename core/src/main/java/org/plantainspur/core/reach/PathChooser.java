package org.plantainspur.core.reach;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.target.ObservedTarget;

/**
 * Chooses the path of an attempt to a target.
 */
public interface PathChooser {

	/** Always chooses the direct path. */
	PathChooser DIRECT = (target, connections) -> Choice.DIRECT;

	/**
	 * Returns the path of an attempt.
	 * @param target the attempt's target
	 * @param connections the open connections that the attempt could use
	 * @return the path with its cost, or {@code null} if none is known that may reach the
	 * target
	 */
	@Nullable Choice choose(ObservedTarget target, OpenConnections connections);

	/**
	 * A path and what is known of it.
	 *
	 * @param path the path
	 * @param cost the cost of using it instead of a direct path that is open, as a
	 * fraction of the value of a response
	 * @param doubtful whether it is not known that the target is reached at all
	 */
	record Choice(TargetPath path, double cost, boolean doubtful) {

		static final Choice DIRECT = new Choice(new TargetPath.Direct(), 0, false);

	}

	/**
	 * The open connections of this host that an attempt could use.
	 */
	interface OpenConnections {

		/** No connection is open. */
		OpenConnections NONE = (target, provenSinceMs) -> false;

		/**
		 * Returns whether there is one to a target.
		 * @param target the target
		 * @param provenSinceMs the connection must have carried a response since then, in
		 * the clock's milliseconds
		 * @return whether an attempt could use it
		 */
		boolean isOpen(ObservedTarget target, long provenSinceMs);

	}

}
