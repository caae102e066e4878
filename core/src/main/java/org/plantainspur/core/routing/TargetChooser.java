package org.plantainspur.core.routing;

import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the target of a request.
 */
public interface TargetChooser {

	/**
	 * Chooses a target and counts the request in flight on it.
	 * @param service the service's name
	 * @param excluded the targets that this request has already tried
	 * @return a lease on the chosen target, or {@code null} if no target may take the
	 * request now
	 */
	@Nullable TargetLease choose(String service, Set<String> excluded);

	/**
	 * Counts one request in flight on a target until it is closed.
	 */
	interface TargetLease extends AutoCloseable {

		/**
		 * Returns the target that the request goes to.
		 * @return the chosen target
		 */
		Target target();

		/**
		 * Ends the lease: the request is no longer in flight.
		 */
		@Override
		void close();

	}

}
