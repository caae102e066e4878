package org.plantainspur.core.rate;

import org.plantainspur.core.configuration.ClientAccount;

/**
 * Converts limits to amounts of tokens. Inside a host an amount is a whole number of
 * nanotokens, rounded down, so that the shares of an account never add up to more than
 * the account's limits. Messages carry millitokens.
 */
final class TokenAmounts {

	/** One token in nanotokens. */
	static final long TOKEN = 1_000_000_000;

	/** One millitoken in nanotokens. */
	static final long MILLI_TOKEN = TOKEN / 1000;

	/** The maximum rate per second and burst; larger values would overflow a long. */
	private static final double MAX_LIMIT = 1e9;

	private TokenAmounts() {
	}

	static long perMilli(ClientAccount account, int divisor) {
		return (divisor == 0) ? 0 : (long) (clamp(account.ratePerSecond()) * MILLI_TOKEN / divisor);
	}

	static long burst(ClientAccount account, int divisor) {
		return (divisor == 0) ? 0 : (long) (clamp(account.burst()) * TOKEN / divisor);
	}

	private static double clamp(double value) {
		return Math.max(0, Math.min(MAX_LIMIT, value));
	}

}
