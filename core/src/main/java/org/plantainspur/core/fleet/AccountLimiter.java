package org.plantainspur.core.fleet;

import org.plantainspur.core.desired.AccountRule;

/**
 * Keeps each account within its rate and burst over all hosts together.
 */
@FunctionalInterface
public interface AccountLimiter {

	/**
	 * Counts one request against an account's limit, unless the limit is exhausted.
	 * @param account the account with its rate and burst
	 * @return whether the request is within the limit
	 */
	boolean tryAcquire(AccountRule account);

}
