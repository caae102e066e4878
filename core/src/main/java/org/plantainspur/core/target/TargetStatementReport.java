package org.plantainspur.core.target;

/**
 * A statement of a target, as one host reports it to another. It holds an age, since the
 * clocks of hosts differ.
 *
 * @param target the target that made the statement
 * @param statement what it says of itself
 * @param ageMs the time since its last response with the statement, in milliseconds
 */
public record TargetStatementReport(TargetIncarnation target, TargetStatement statement, long ageMs) {
}
