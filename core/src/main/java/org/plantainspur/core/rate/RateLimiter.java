package org.plantainspur.core.rate;

import org.plantainspur.core.configuration.ClientAccount;

/**
 * Admits requests within an account's rate and burst across all hosts.
 */
public interface RateLimiter {

	/**
	 * Takes a token for one request; may wait.
	 * @param account the account
	 * @param deadlineMillis the instant, on the process clock, after which the request is
	 * worthless
	 * @return {@link RateDecision.Granted} or {@link RateDecision.Limited}
	 */
	RateDecision acquire(ClientAccount account, long deadlineMillis);

	/**
	 * The outcome of an acquisition.
	 */
	sealed interface RateDecision {

		/**
		 * The token was taken.
		 */
		record Granted() implements RateDecision {
		}

		/**
		 * The account is over its rate.
		 *
		 * @param retryAfterMillis when a token may be available, in milliseconds from now
		 */
		record Limited(long retryAfterMillis) implements RateDecision {
		}

	}

}
