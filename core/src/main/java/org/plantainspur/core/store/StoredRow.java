package org.plantainspur.core.store;

/**
 * A row of a table of the store.
 *
 * @param key the row's key
 * @param value its content, empty for a removed row
 * @param version the store's version at which it was written
 * @param removed whether the row is gone
 */
public record StoredRow(String key, byte[] value, long version, boolean removed) {
}
