package org.plantainspur.core.configuration;

/**
 * One of the parts that a {@link ConfigurationState} is sent in.
 *
 * @param number the part's number, from 0
 * @param count how many parts the state has
 * @param content a share of the entities, with the sequence number of the whole state;
 * the membership is in part 0 and empty in each other part
 */
public record ConfigurationPart(int number, int count, ConfigurationState content) {

	/**
	 * Returns the sequence number of the state that this is a part of.
	 * @return the sequence number
	 */
	public long sequence() {
		return this.content.sequence();
	}

}
