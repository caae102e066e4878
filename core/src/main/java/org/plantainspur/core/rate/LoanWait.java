package org.plantainspur.core.rate;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Suspends a request that has no token.
 */
@FunctionalInterface
interface LoanWait {

	/** Parks the thread. */
	LoanWait PARKED = LoanWait::park;

	/**
	 * Waits until a loan arrives or a time has passed.
	 * @param loan the next loan
	 * @param millis the longest time, in milliseconds
	 * @return {@code false} if interrupted
	 */
	boolean await(CompletableFuture<Void> loan, long millis);

	private static boolean park(CompletableFuture<Void> loan, long millis) {
		try {
			loan.get(millis, TimeUnit.MILLISECONDS);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
		catch (ExecutionException | TimeoutException ex) {
			return true;
		}
	}

}
