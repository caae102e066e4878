package org.plantainspur.core.currency;

import java.util.List;

/**
 * The newest response of a member to a heartbeat of this host. Instants are readings of
 * this host's process clock in milliseconds.
 *
 * @param sentMillis the instant just before this host sent the heartbeat
 * @param receivedMillis the instant when the response arrived
 * @param processId the identifier of the process that responded
 * @param sequence the sequence number that it has in force, -1 until it first has
 * evidence that this number is the newest that a majority knows
 * @param platformReadMillis the earliest instant at which its newest complete read of the
 * platform can have begun, {@link Long#MIN_VALUE} if it has read nothing yet
 * @param silentHosts the hosts that it has received no response from for 3 s
 */
public record HeartbeatResponse(long sentMillis, long receivedMillis, String processId, long sequence,
		long platformReadMillis, List<String> silentHosts) {
}
