package org.plantainspur.core.log;

/**
 * Takes one line for each decision that touches a request or changes what the process
 * believes. For example
 * {@code log.event("desired-state", "version", 12, "outcome", "in-force")}.
 */
@FunctionalInterface
public interface DecisionLog {

	/**
	 * Writes a line; never waits.
	 * @param name the event's stable name, in lower case with dashes
	 * @param fields names and values by turns
	 */
	void event(String name, Object... fields);

}
