package org.plantainspur.core.target;

import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * Selects the target of an attempt.
 */
public interface TargetSelector {

	/**
	 * Returns the target for the next attempt of a request.
	 * @param service the service's name
	 * @param eligible tells whether the request may be sent to a target
	 * @param profile the properties of the attempt that affect its cost
	 * @return the target, or {@code null} if the service has no eligible one that takes a
	 * request now
	 */
	@Nullable ObservedTarget select(String service, Predicate<ObservedTarget> eligible, AttemptProfile profile);

	/**
	 * The properties of an attempt that affect the selection of its target.
	 *
	 * @param route the name of the request's route
	 * @param retryable whether another attempt may follow if the target fails
	 * @param requestBytes the size of the request's body in bytes
	 */
	record AttemptProfile(String route, boolean retryable, int requestBytes) {
	}

}
