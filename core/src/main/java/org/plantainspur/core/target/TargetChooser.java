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
	 * @param work what is to be done
	 * @return the target, or {@code null} if the service has no eligible one
	 */
	@Nullable Target choose(String service, Predicate<Target> eligible, Work work);

	/**
	 * What an attempt asks of a target.
	 *
	 * @param route the name of the request's route
	 * @param repeatable whether another attempt may follow if the target fails
	 * @param requestBytes the size of the request's body
	 */
	record Work(String route, boolean repeatable, int requestBytes) {
	}

}
