package org.plantainspur.core.target;

import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the target of an attempt.
 */
public interface TargetChooser {

	/**
	 * Returns the target for the next attempt of a request.
	 * @param service the service
	 * @param eligible whether the request may be sent to a target
	 * @param idempotent whether the request may be repeated if the target fails
	 * @return the target, or {@code null} if the service has no eligible one
	 */
	@Nullable Target choose(String service, Predicate<Target> eligible, boolean idempotent);

}
