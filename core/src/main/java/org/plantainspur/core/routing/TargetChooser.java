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
	 * @return the lease of a place on the target, or {@code null} if no target may take
	 * the request now
	 */
	@Nullable TargetLease choose(String service, Set<String> excluded);

	/**
	 * A place on a target, held for one request.
	 */
	interface TargetLease extends AutoCloseable {

		/**
		 * Returns the target.
		 * @return the target
		 */
		Target target();

		/**
		 * Gives the place back.
		 */
		@Override
		void close();

	}

}
