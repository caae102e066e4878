package org.plantainspur.core.store;

import java.util.concurrent.CompletionStage;

/**
 * The port to the platform's table store.
 */
public interface Store extends TableReader {

	/**
	 * Writes one row without a condition.
	 * @param table the table's name
	 * @param key the row's key
	 * @param value the row's content
	 * @return a stage that completes with an empty {@link StoreResult.Rows} once the row
	 * is written, or with another result if the write failed; never exceptionally
	 */
	CompletionStage<StoreResult> put(String table, String key, byte[] value);

}
