package org.plantainspur.core.store;

import java.util.concurrent.CompletionStage;

/**
 * Reads tables, from the store or from a host that has read them. All calls return at
 * once; the stages complete with an answer, never exceptionally.
 */
public interface TableReader {

	/**
	 * Reads a table whole or from a key on.
	 * @param table the table
	 * @param from the first key, empty for all
	 * @return the rows as of one moment
	 */
	CompletionStage<StoreAnswer> list(String table, String from);

	/**
	 * Reads or waits for changes of a table.
	 * @param table the table
	 * @param after the store's version up to which changes are known
	 * @param waitMs how long to wait for a change, in milliseconds
	 * @return the changed rows, none if nothing changed meanwhile
	 */
	CompletionStage<StoreAnswer> changes(String table, long after, long waitMs);

}
