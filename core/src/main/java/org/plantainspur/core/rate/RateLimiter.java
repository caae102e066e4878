package org.plantainspur.core.rate;

import org.plantainspur.core.configuration.ClientAccount;

/**
 * Admits requests within an account's rate and burst across all hosts.
 */
public interface RateLimiter {

	/**
	 * Takes a token for one request, and may block until one is available.
	 * @param account the account to charge
	 * @param deadlineMillis the instant on the process clock at which the caller stops
	 * waiting for the answer
	 * @return {@link RateDecision.Granted} if a token was taken, otherwise
	 * {@link RateDecision.Limited}
	 */
	RateDecision acquire(ClientAccount account, long deadlineMillis);

	/**
	 * Whether a request was granted a token.
	 */
	sealed interface RateDecision {

		/**
		 * A token was taken for the request.
		 */
		record Granted() implements RateDecision {
		}

		/**
		 * No token was available.
		 *
		 * @param retryAfterMillis the time in milliseconds after which a token may be
		 * available
		 */
		record Limited(long retryAfterMillis) implements RateDecision {
		}

	}

}
