package org.plantainspur.core.target;

/**
 * Identifies what a target says of itself: it holds until the target starts again.
 *
 * @param id the identity under which the platform lists the target
 * @param startedMs when its process started, in Unix milliseconds; 0 if unknown
 */
public record TargetIncarnation(String id, long startedMs) {
}
