package org.plantainspur.core.store;

import java.util.HashMap;
import java.util.Map;

import org.plantainspur.core.time.Clock;

/**
 * Chooses how long the calls for changes wait, so that the calls for two tables are
 * answered in turn and one of them is answered in each answer interval. An answer that
 * does not come shows early that the store or a connection is lost. Used by one thread.
 */
public final class AnswerSchedule {

	private final Clock clock;

	private final ChangeDelayBudget budget;

	private final Map<String, Long> dueMs = new HashMap<>();

	private long lastAnswerMs;

	public AnswerSchedule(Clock clock, ChangeDelayBudget budget) {
		this.clock = clock;
		this.budget = budget;
	}

	/**
	 * Chooses the wait of a call that is made now.
	 * @param table the table whose changes are called for
	 * @return how long the call waits for a change, in milliseconds
	 */
	public long waitMs(String table) {
		long nowMs = this.clock.millis();
		long intervalMs = this.budget.answerIntervalMs();
		long nextDueMs = this.lastAnswerMs + intervalMs;
		// The next answer may come from the other table; this one follows it then.
		long ownDueMs = this.dueMs.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(table))
			.mapToLong(Map.Entry::getValue)
			.filter((otherDueMs) -> otherDueMs >= nowMs && otherDueMs <= nextDueMs)
			.map((otherDueMs) -> otherDueMs + intervalMs)
			.min()
			.orElse(Math.max(nowMs, nextDueMs));
		this.dueMs.put(table, ownDueMs);
		return ownDueMs - nowMs;
	}

	/**
	 * Records an answer of the store.
	 * @param table the table of the call that was answered
	 */
	public void answered(String table) {
		this.lastAnswerMs = this.clock.millis();
		this.dueMs.remove(table);
	}

}
