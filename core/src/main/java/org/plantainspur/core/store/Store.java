package org.plantainspur.core.store;

import java.util.concurrent.CompletionStage;

/**
 * The platform's table store.
 */
public interface Store extends TableReader {

	/**
	 * Writes one row without a condition.
	 * @param table the table
	 * @param key the row's key
	 * @param value its content
	 * @return {@link StoreAnswer.Rows} without rows when it is written
	 */
	CompletionStage<StoreAnswer> put(String table, String key, byte[] value);

}
