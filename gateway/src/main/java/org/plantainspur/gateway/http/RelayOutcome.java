package org.plantainspur.gateway.http;

import org.jspecify.annotations.Nullable;

import org.plantainspur.core.reach.RelayAdmission;

/**
 * How a relayed attempt ended without a response of the target, as hosts tell each other.
 * The names are sent between hosts.
 */
enum RelayOutcome {

	/** Not sent: see {@link RelayAdmission.Reason#STOPPING}. */
	STOPPING,

	/** Not sent: see {@link RelayAdmission.Reason#CUT_OFF}. */
	CUT_OFF,

	/** Not sent: see {@link RelayAdmission.Reason#WITHHELD}. */
	WITHHELD,

	/** Not sent: see {@link RelayAdmission.Reason#TARGET_UNREACHED}. */
	TARGET_UNREACHED,

	/** Not sent: see {@link RelayAdmission.Reason#NOTHING_REACHED}. */
	NOTHING_REACHED,

	/** Not sent: see {@link RelayAdmission.Reason#BUSY}. */
	BUSY,

	/** Not sent: the proof is missing or wrong, or the request is malformed. */
	REJECTED,

	/** Sent: the response was incomplete or could not be used. */
	BROKEN,

	/** Sent: no response arrived before the deadline. */
	TIMED_OUT,

	/** Sent: the connection to the target ended before any byte of a response. */
	CONNECTION_LOST;

	static RelayOutcome of(RelayAdmission.Reason reason) {
		return valueOf(reason.name());
	}

	/**
	 * Returns the outcome with a name.
	 * @param name the name as sent by another host
	 * @return the outcome, or {@code null} if this build does not know it
	 */
	static @Nullable RelayOutcome byName(String name) {
		for (RelayOutcome outcome : values()) {
			if (outcome.name().equals(name)) {
				return outcome;
			}
		}
		return null;
	}

}
