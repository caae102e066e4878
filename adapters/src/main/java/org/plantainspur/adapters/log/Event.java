package org.plantainspur.adapters.log;

import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Creates log events, each with a stable name and named fields. For example
 * {@code logger.info(Event.named("resigned").with("written", true))}.
 */
public final class Event {

	private Event() {
	}

	/**
	 * Creates an event without fields.
	 * @param name the name of the event, in lower case with dashes
	 * @return the event, to which the caller adds fields
	 */
	public static StringMapMessage named(String name) {
		return new StringMapMessage().with("event", name);
	}

}
