package org.plantainspur.core.store;

import java.util.concurrent.CompletionStage;

/**
 * Reads tables from the store or from another host. All calls return immediately; the
 * stages complete with a result, never exceptionally.
 */
public interface TableReader {

	/**
	 * Reads a whole table, or its rows from a key on.
	 * @param table the table's name
	 * @param from the smallest key to read, empty for all rows
	 * @return a page of rows of one version of the store; {@link StoreResult.Rows#more}
	 * tells whether another call is needed for the rest
	 */
	CompletionStage<StoreResult> list(String table, String from);

	/**
	 * Reads the changes of a table, and waits for one if there is none.
	 * @param table the table's name
	 * @param after the version of the store up to which changes are known
	 * @param waitMs how long to wait for a change, in milliseconds
	 * @return the changed rows, empty if nothing changed in that time. If their version
	 * is of another era than {@code after}, they are not all changes, and the whole table
	 * must be read
	 */
	CompletionStage<StoreResult> changes(String table, StoreVersion after, long waitMs);

}
