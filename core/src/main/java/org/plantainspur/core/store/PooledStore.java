package org.plantainspur.core.store;

/**
 * A store whose calls reuse connections. A connection may have gone silent without being
 * closed, so a call can also be made on a connection of its own.
 */
public interface PooledStore extends Store {

	/**
	 * Returns a reader that opens a connection for each call.
	 * @return a reader of the same store
	 */
	TableReader onNewConnections();

	/**
	 * Closes the connections on which no call is pending.
	 */
	void closeIdleConnections();

}
