package org.plantainspur.standins.load;

import org.jspecify.annotations.Nullable;

/**
 * Selects the hosts or targets to which the requests of an account are sent.
 */
interface DestinationSelector extends AutoCloseable {

	/**
	 * Selects the destination of one attempt.
	 * @param account the client account of the request
	 * @return the destination, or {@code null} if none is known
	 */
	@Nullable Destination select(LoadPlan.AccountShare account);

	/**
	 * Reports that no connection to a destination could be made.
	 * @param account the client account of the request
	 */
	default void connectFailed(LoadPlan.AccountShare account) {
	}

	@Override
	void close();

	/**
	 * The address to which a request is sent.
	 *
	 * @param address {@code ip:port} of a host or target
	 * @param dispatchToken the prefix of the idempotency keys sent to it
	 */
	record Destination(String address, String dispatchToken) {
	}

}
