package org.plantainspur.adapters.log;

import org.apache.logging.log4j.message.StringMapMessage;

/**
 * One log event with a stable name and fields. For example
 * {@code logger.info(Event.named("resigned").with("written", true))}.
 */
public final class Event {

	private Event() {
	}

	/**
	 * Returns an event without fields.
	 * @param name the name, in lower case with dashes
	 * @return the event
	 */
	public static StringMapMessage named(String name) {
		return new StringMapMessage().with("event", name);
	}

}
