package org.plantainspur.core.configuration;

/**
 * A change with its place in the sequence.
 *
 * @param sequence the position in the sequence, from 1
 * @param changeId the identity that the author gave to the change, used to settle a lost
 * reply
 * @param change the change
 */
public record ChangeEntry(long sequence, String changeId, Change change) {
}
