package org.plantainspur.core.store;

/**
 * A row of a table in the store.
 *
 * @param key the row's key
 * @param value the row's content, empty for a removed row
 * @param version the number of the version at which the row was written or removed, in
 * the era of the rows that it is read with
 * @param removed whether the row was removed
 */
public record StoredRow(String key, byte[] value, long version, boolean removed) {
}
