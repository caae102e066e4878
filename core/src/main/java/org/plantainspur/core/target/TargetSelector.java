package org.plantainspur.core.target;

import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.reach.PathChooser;
import org.plantainspur.core.reach.TargetPath;

/**
 * Selects the target of an attempt and the path to it.
 */
public interface TargetSelector {

	/**
	 * Returns the target for the next attempt of a request.
	 * @param service the service's name
	 * @param eligible tells whether the request may be sent to a target
	 * @param profile the properties of the attempt that affect its cost
	 * @return the target with its path, or {@code null} if the service has no eligible
	 * target that takes a request now and may be reached
	 */
	@Nullable Selection select(String service, Predicate<ObservedTarget> eligible, AttemptProfile profile);

	/**
	 * The properties of an attempt that affect the selection of its target.
	 *
	 * @param route the name of the request's route
	 * @param retryable whether another attempt may follow if the target fails
	 * @param requestBytes the size of the request's body in bytes
	 * @param openConnections the open connections that the attempt could use
	 */
	record AttemptProfile(String route, boolean retryable, int requestBytes,
			PathChooser.OpenConnections openConnections) {
	}

	/**
	 * The target of an attempt.
	 *
	 * @param target the target
	 * @param path the path to it
	 */
	record Selection(ObservedTarget target, TargetPath path) {
	}

}
