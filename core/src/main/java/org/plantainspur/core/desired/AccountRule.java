package org.plantainspur.core.desired;

/**
 * A client account as the operators describe it.
 *
 * @param name the account's name
 * @param priority the rank; 0 is the highest
 * @param ratePerSecond the requests a second that all hosts together pass on; 0 means no
 * limit
 * @param burst the requests beyond the rate that may be passed on at once
 */
public record AccountRule(String name, int priority, double ratePerSecond, double burst) {

	/**
	 * Returns whether the account's requests are limited.
	 * @return {@code true} if there is a rate
	 */
	public boolean limited() {
		return this.ratePerSecond > 0;
	}

}
