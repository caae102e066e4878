package org.plantainspur.core.fleet;

import org.plantainspur.core.desired.AccountRule;

/**
 * Keeps each account within its rate and burst over all hosts together.
 */
@FunctionalInterface
public interface AccountLimiter {

	/**
	 * Takes one request out of an account's allowance.
	 * @param account the account
	 * @return whether the request is within the allowance
	 */
	boolean tryAcquire(AccountRule account);

}
