package org.plantainspur.core.target;

import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the target of an attempt.
 */
public interface TargetChooser {

	/**
	 * Returns the target for the next attempt of a request.
	 * @param service the service
	 * @param tried the identities of the targets that the request was sent to already
	 * @param idempotent whether the request may be repeated if the target fails
	 * @return the target, or {@code null} if the service has no other target
	 */
	@Nullable Target choose(String service, Set<String> tried, boolean idempotent);

}
