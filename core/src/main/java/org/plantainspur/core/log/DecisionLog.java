package org.plantainspur.core.log;

/**
 * Logs one line for each decision that affects a request or changes the state of the
 * process. For example
 * {@code log.event("desired-state", "version", 12, "outcome", "in-force")}.
 */
@FunctionalInterface
public interface DecisionLog {

	/**
	 * Writes one line. Never blocks.
	 * @param name the event's stable name, in lower case with dashes
	 * @param fields the names and values of the fields, alternating
	 */
	void event(String name, Object... fields);

}
