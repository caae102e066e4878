package org.plantainspur.core.rate;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Blocks a request that has no token until a loan arrives.
 */
@FunctionalInterface
interface LoanWait {

	/** Parks the calling thread until the loan completes or the time limit passes. */
	LoanWait PARKED = LoanWait::park;

	/**
	 * Waits until a loan arrives or the time limit passes.
	 * @param loan completes when the next loan arrives
	 * @param millis the maximum wait in milliseconds
	 * @return {@code false} if the thread was interrupted, otherwise {@code true}
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
