package org.plantainspur.core.store;

import java.util.concurrent.CompletionStage;

/**
 * The platform's table store. All calls return at once; the stages complete with an
 * answer, never exceptionally.
 */
public interface Store {

	/**
	 * Reads a table whole or from a key on.
	 * @param table the table
	 * @param from the first key, empty for all
	 * @return the rows as of one moment
	 */
	CompletionStage<StoreAnswer> list(String table, String from);

	/**
	 * Waits for changes of a table.
	 * @param table the table
	 * @param after the store's version up to which changes are known
	 * @param waitMs how long to wait for a change, in milliseconds
	 * @return the changed rows, none if nothing changed meanwhile
	 */
	CompletionStage<StoreAnswer> changes(String table, long after, long waitMs);

	/**
	 * Writes one row without a condition.
	 * @param table the table
	 * @param key the row's key
	 * @param value its content
	 * @return {@link StoreAnswer.Rows} without rows when it is written
	 */
	CompletionStage<StoreAnswer> put(String table, String key, byte[] value);

}
