package org.plantainspur.core.currency;

import java.util.function.LongSupplier;

/**
 * Treats the configuration as current for 3,000 ms after this host's last read of the
 * platform began. With this rule, the simplest one, a host stops serving routes that need
 * a key soon after the platform becomes unavailable.
 */
public final class ReadAgeCurrencyRule implements CurrencyRule {

	/**
	 * The fencing timeout in milliseconds: how long evidence that the configuration is
	 * current stays valid. A host without newer evidence is fenced after this time: it
	 * refuses requests on routes that need a key.
	 */
	public static final long FENCING_TIMEOUT_MILLIS = 3000;

	private final LongSupplier readAgeMillis;

	/**
	 * Creates the rule.
	 * @param readAgeMillis returns the time since the start of this host's last complete
	 * read of the platform, in milliseconds
	 */
	public ReadAgeCurrencyRule(LongSupplier readAgeMillis) {
		this.readAgeMillis = readAgeMillis;
	}

	@Override
	public Currency check() {
		long age = this.readAgeMillis.getAsLong();
		return (age <= FENCING_TIMEOUT_MILLIS) ? new Currency.Current()
				: new Currency.Stale("the last read of the platform is older than " + FENCING_TIMEOUT_MILLIS + " ms");
	}

}
