package org.plantainspur.core.target;

/**
 * Identifies one process of a target. A target may start again under the identity that it
 * had; what was observed of the earlier process does not apply to the new one.
 *
 * @param id the identity under which the platform lists the target
 * @param service the name of the service that it belongs to
 * @param host the IP address that it listens on
 * @param port the port that it listens on
 * @param startedMs when the process started, in Unix milliseconds; 0 if unknown
 */
public record TargetProcess(String id, String service, String host, int port, long startedMs) {
}
