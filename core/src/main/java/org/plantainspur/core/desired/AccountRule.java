package org.plantainspur.core.desired;

/**
 * A client account as configured by the operators.
 *
 * @param name the account's name
 * @param priority the priority; 0 is the highest
 * @param ratePerSecond the requests per second that all hosts together admit; 0 means no
 * limit
 * @param burst the requests beyond the rate that may be admitted at once
 */
public record AccountRule(String name, int priority, double ratePerSecond, double burst) {

	/**
	 * Returns whether the account's requests are limited.
	 * @return {@code true} if the account has a rate
	 */
	public boolean limited() {
		return this.ratePerSecond > 0;
	}

}
