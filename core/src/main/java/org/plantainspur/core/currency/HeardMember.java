package org.plantainspur.core.currency;

import java.util.List;

/**
 * The newest answer of a member to this host's heartbeats.
 *
 * @param askedMillis the instant before this host asked
 * @param answeredMillis the instant when the answer came
 * @param processId the process that answered
 * @param sequence its sequence number in force, -1 if it has shown none
 * @param readMillis the earliest instant at which its newest read of the platform can
 * have begun, {@link Long#MIN_VALUE} if it has none
 * @param silentHosts the hosts that gave it no answer
 */
public record HeardMember(long askedMillis, long answeredMillis, String processId, long sequence, long readMillis,
		List<String> silentHosts) {
}
