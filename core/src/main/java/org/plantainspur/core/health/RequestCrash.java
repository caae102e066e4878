package org.plantainspur.core.health;

/**
 * A crash of a target while it was running a request, as hosts report it to each other.
 * Times are ages, since the clocks of hosts differ.
 *
 * @param fingerprint the request's identity, equal for repeats of the same request
 * @param id identifies the crash; the same in all reports of it
 * @param sentAgeMs the time since the request was sent to the target, in milliseconds
 * @param crashedAgeMs the time since the connection to the target was lost, in
 * milliseconds
 */
public record RequestCrash(String fingerprint, long id, long sentAgeMs, long crashedAgeMs) {
}
