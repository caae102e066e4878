package org.plantainspur.core.fleet;

/**
 * Decides when this host sends a heartbeat to all hosts of its failure domain: at a
 * regular interval, and at once when it has other rows or a new response of the store.
 * When a reader of the store is late, the other hosts begin to read one after another
 * until one reports a success, so a new response must be reported at once. Used by one
 * thread.
 */
public final class HeartbeatSchedule {

	/**
	 * The interval between regular heartbeats. Short enough that two lost heartbeats in a
	 * row do not make a host count as down, see {@link LiveHosts#HEARTBEAT_TIMEOUT_MS}.
	 */
	static final long HEARTBEAT_INTERVAL_MS = 500;

	/**
	 * A response of the store is reported at once if it is newer than the last reported
	 * one by at least this. The other hosts would otherwise learn only with the next
	 * regular heartbeat that the store is available.
	 */
	static final long NEWER_RESPONSE_MS = 500;

	private long sentMs = Long.MIN_VALUE / 2;

	private long sentDigest;

	private long sentResponseMs = Long.MIN_VALUE / 2;

	/**
	 * Returns whether a heartbeat is due; if so, it counts as sent.
	 * @param tablesDigest a digest of the rows of this host's tables
	 * @param storeAgeMs the time since the store last answered this host, in milliseconds
	 * @param nowMs the clock's current reading in milliseconds
	 * @return whether to send a heartbeat to all hosts of the failure domain
	 */
	public boolean due(long tablesDigest, long storeAgeMs, long nowMs) {
		long responseMs = nowMs - storeAgeMs;
		if (nowMs - this.sentMs < HEARTBEAT_INTERVAL_MS && tablesDigest == this.sentDigest
				&& responseMs - this.sentResponseMs < NEWER_RESPONSE_MS) {
			return false;
		}
		this.sentMs = nowMs;
		this.sentDigest = tablesDigest;
		this.sentResponseMs = responseMs;
		return true;
	}

}
