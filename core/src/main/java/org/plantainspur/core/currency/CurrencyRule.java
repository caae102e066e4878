package org.plantainspur.core.currency;

/**
 * Decides whether this host's configuration is current, so that the host may serve routes
 * that need a key.
 */
public interface CurrencyRule {

	/**
	 * Checks whether this host's configuration is current at the time of the call.
	 * @return {@link Currency.Current} or {@link Currency.Stale}
	 */
	Currency check();

	/**
	 * The result of a check.
	 */
	sealed interface Currency {

		/**
		 * The configuration is current: routes that need a key may be served.
		 */
		record Current() implements Currency {
		}

		/**
		 * The configuration may be out of date: requests on routes that need a key must
		 * be refused.
		 *
		 * @param reason why the configuration cannot be shown to be current
		 */
		record Stale(String reason) implements Currency {
		}

	}

}
