package org.plantainspur.core.configuration;

/**
 * One part of a {@link ConfigurationState}, which may be too large for one message.
 *
 * @param number the part's number, from 0
 * @param count the number of parts of the state
 * @param content some of the entities, with the sequence number of the whole state; part
 * 0 has the membership, which is empty in all other parts
 */
public record ConfigurationPart(int number, int count, ConfigurationState content) {

	/**
	 * Returns the sequence number of the state that this part belongs to.
	 * @return the sequence number
	 */
	public long sequence() {
		return this.content.sequence();
	}

}
