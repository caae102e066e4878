package org.plantainspur.core.store;

/**
 * A row of a table in the store.
 *
 * @param key the row's key
 * @param value the row's content, empty for a removed row
 * @param version the version of the store at which the row was written or removed
 * @param removed whether the row was removed
 */
public record StoredRow(String key, byte[] value, long version, boolean removed) {
}
