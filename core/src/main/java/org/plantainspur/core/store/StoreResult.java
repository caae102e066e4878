package org.plantainspur.core.store;

import java.util.List;

/**
 * The result of a call to the store.
 */
public sealed interface StoreResult {

	/**
	 * The call succeeded.
	 *
	 * @param rows the requested rows, in the store's order
	 * @param version the version of the store up to which the rows are complete
	 * @param more whether the range has further rows
	 */
	record Rows(List<StoredRow> rows, StoreVersion version, boolean more) implements StoreResult {
	}

	/** The requested changes are no longer kept; the whole table must be read. */
	record HistoryLost() implements StoreResult {
	}

	/** A condition of a write did not hold; nothing was written. */
	record Conflict() implements StoreResult {
	}

	/**
	 * The call was refused or got no response; a write may have taken effect.
	 *
	 * @param reason the observed error, as text for the log
	 */
	record Unavailable(String reason) implements StoreResult {
	}

}
