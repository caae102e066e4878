package org.plantainspur.core.configuration;

/**
 * A change with its position in the sequence of changes.
 *
 * @param sequence the position in the sequence, from 1
 * @param changeId the identifier of the change, chosen by its author; it shows after a
 * lost reply whether the change was written
 * @param change the content of the change
 */
public record ChangeEntry(long sequence, String changeId, Change change) {
}
