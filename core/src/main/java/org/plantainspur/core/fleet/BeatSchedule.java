package org.plantainspur.core.fleet;

/**
 * Decides when all hosts of the failure domain are told of this one: regularly, and at
 * once when it knows newer tables or has just heard from the store. Answers the load of a
 * reader that is late: all hosts of the failure domain begin to read one after another
 * until one of them says that it has succeeded. Used by one thread.
 */
public final class BeatSchedule {

	/** Three lost beats must not make a host count as down. */
	static final long BEAT_MS = 500;

	/**
	 * The others would otherwise learn only with the next beat that the store is there.
	 */
	static final long FRESHER_MS = 500;

	private long toldMs = Long.MIN_VALUE / 2;

	private long toldVersion;

	private long toldAnswerMs = Long.MIN_VALUE / 2;

	/**
	 * Decides whether a beat is due; if so, it counts as sent.
	 * @param version the sum of the versions of the tables
	 * @param storeAgeMs the time since the store answered, in milliseconds
	 * @param now the reading of the clock
	 * @return whether to send a beat to all hosts of the failure domain
	 */
	public boolean due(long version, long storeAgeMs, long now) {
		long answerMs = now - storeAgeMs;
		if (now - this.toldMs < BEAT_MS && version <= this.toldVersion && answerMs - this.toldAnswerMs < FRESHER_MS) {
			return false;
		}
		this.toldMs = now;
		this.toldVersion = version;
		this.toldAnswerMs = answerMs;
		return true;
	}

}
