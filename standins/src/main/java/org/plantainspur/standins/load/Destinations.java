package org.plantainspur.standins.load;

import org.jspecify.annotations.Nullable;

/**
 * Where the requests of an account go.
 */
interface Destinations extends AutoCloseable {

	/**
	 * Chooses the address for one sending.
	 * @param account the account
	 * @return the destination, or {@code null} if none is known
	 */
	@Nullable Destination next(LoadPlan.AccountShare account);

	/**
	 * Says that no connection to a destination could be made.
	 * @param account the account
	 */
	default void notConnected(LoadPlan.AccountShare account) {
	}

	@Override
	void close();

	/**
	 * A destination.
	 *
	 * @param address {@code ip:port}
	 * @param dispatchToken the prefix of idempotency keys
	 */
	record Destination(String address, String dispatchToken) {
	}

}
