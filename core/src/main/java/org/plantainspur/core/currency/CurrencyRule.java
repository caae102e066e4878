package org.plantainspur.core.currency;

/**
 * Decides whether this host may serve keyed routes now.
 */
public interface CurrencyRule {

	/**
	 * Judges this host's configuration at the moment of use.
	 * @return {@link Currency.Current} or {@link Currency.Stale}
	 */
	Currency check();

	/**
	 * The outcome of a check.
	 */
	sealed interface Currency {

		/**
		 * Keyed routes may be served.
		 */
		record Current() implements Currency {
		}

		/**
		 * Keyed routes must be refused.
		 *
		 * @param reason why the configuration cannot be shown to be current
		 */
		record Stale(String reason) implements Currency {
		}

	}

}
