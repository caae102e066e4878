package org.plantainspur.core.store;

import java.util.List;

/**
 * What a call to the store came to.
 */
public sealed interface StoreAnswer {

	/**
	 * The call was answered.
	 *
	 * @param rows the rows asked for, in the store's order
	 * @param version the store's newest version
	 * @param more whether the range has further rows
	 */
	record Rows(List<StoredRow> rows, long version, boolean more) implements StoreAnswer {
	}

	/** The changes asked for are no longer kept; the table must be read whole. */
	record HistoryLost() implements StoreAnswer {
	}

	/** A condition of a write did not hold; nothing was written. */
	record Conflict() implements StoreAnswer {
	}

	/**
	 * The call was refused or got no answer; a write may have been done.
	 *
	 * @param reason what was seen
	 */
	record Unavailable(String reason) implements StoreAnswer {
	}

}
