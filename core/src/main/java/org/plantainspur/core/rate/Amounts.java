package org.plantainspur.core.rate;

import org.plantainspur.core.configuration.ClientAccount;

/**
 * Amounts of tokens. Inside a host they are whole billionths of a token, rounded down, so
 * that the shares of an account never add up to more than the account's limits. Messages
 * carry thousandths.
 */
final class Amounts {

	static final long TOKEN = 1_000_000_000;

	static final long MILLI_TOKEN = TOKEN / 1000;

	/** Larger limits would overflow; no account comes near. */
	private static final double MAXIMUM = 1e9;

	private Amounts() {
	}

	static long perMilli(ClientAccount account, int divisor) {
		return (divisor == 0) ? 0 : (long) (limited(account.ratePerSecond()) * MILLI_TOKEN / divisor);
	}

	static long burst(ClientAccount account, int divisor) {
		return (divisor == 0) ? 0 : (long) (limited(account.burst()) * TOKEN / divisor);
	}

	private static double limited(double value) {
		return Math.max(0, Math.min(MAXIMUM, value));
	}

}
