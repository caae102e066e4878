package org.plantainspur.core.currency;

import java.util.function.LongSupplier;

/**
 * Takes the configuration as current while this host's own read of the platform is young
 * enough. The simplest rule; it stops all keyed routes soon after the platform becomes
 * unavailable.
 */
public final class FencingByAge implements CurrencyRule {

	/** How long a proof that the configuration is current holds, in milliseconds. */
	public static final long FENCING_TIMEOUT_MILLIS = 3000;

	private final LongSupplier readAgeMillis;

	/**
	 * Creates the rule.
	 * @param readAgeMillis gives the age of this host's last read in milliseconds
	 */
	public FencingByAge(LongSupplier readAgeMillis) {
		this.readAgeMillis = readAgeMillis;
	}

	@Override
	public Currency check() {
		long age = this.readAgeMillis.getAsLong();
		return (age <= FENCING_TIMEOUT_MILLIS) ? new Currency.Current()
				: new Currency.Stale("the last read of the platform is older than " + FENCING_TIMEOUT_MILLIS + " ms");
	}

}
