package org.plantainspur.core.request;

import java.util.concurrent.atomic.AtomicLong;

import org.plantainspur.core.routing.LoadSheddingDetector;

/**
 * Retries requests that a target refused and idempotent requests that failed, within a
 * retry budget and only while the service's targets don't shed load. Each request adds a
 * tenth of a retry to the budget, so that retries add no more than 10% to the load of the
 * targets in the long run. If an attempt caused no work on a target, because nothing was
 * sent or because the target is draining, the retry uses no budget and is made even while
 * targets shed load. All retries count towards {@link #MAXIMUM_ATTEMPTS}.
 */
public final class BudgetedRetryPolicy implements RetryPolicy {

	/** The maximum number of attempts for one request: the first and two retries. */
	static final int MAXIMUM_ATTEMPTS = 3;

	/**
	 * The maximum number of targets that may run one idempotent request. Two, so that a
	 * request that crashes its target can't crash a third one.
	 */
	static final int MAXIMUM_RUNS = 2;

	/** What each request adds to the budget: a tenth of a retry. */
	private static final long MILLI_RETRIES_PER_REQUEST = 100;

	private static final long MILLI_RETRIES_PER_RETRY = 1000;

	/**
	 * The size of the full budget: 10 retries. It limits the burst of retries after a
	 * time without any.
	 */
	private static final long MAXIMUM_MILLI_RETRIES = 10 * MILLI_RETRIES_PER_RETRY;

	/** The lowest status of an answer that is retried as a failure of the target. */
	private static final int SERVER_ERROR = 500;

	private final AtomicLong budgetMilliRetries = new AtomicLong(MAXIMUM_MILLI_RETRIES);

	private final LoadSheddingDetector loadSheddingDetector;

	/**
	 * Creates a policy with a full budget.
	 * @param loadSheddingDetector tells whether the targets of a service are shedding
	 * load
	 */
	public BudgetedRetryPolicy(LoadSheddingDetector loadSheddingDetector) {
		this.loadSheddingDetector = loadSheddingDetector;
	}

	@Override
	public void requestArrived() {
		this.budgetMilliRetries
			.getAndUpdate((milliRetries) -> Math.min(MAXIMUM_MILLI_RETRIES, milliRetries + MILLI_RETRIES_PER_REQUEST));
	}

	@Override
	public boolean shouldRetry(String service, boolean idempotent, DispatchOutcome outcome, int attempts) {
		if (attempts >= MAXIMUM_ATTEMPTS) {
			return false;
		}
		if (causedNoWork(outcome)) {
			return true;
		}
		boolean retryable = outcome instanceof DispatchOutcome.RefusedByTarget
				|| (idempotent && attempts < MAXIMUM_RUNS && failed(outcome));
		return retryable && !this.loadSheddingDetector.shedding(service) && spendRetry();
	}

	private static boolean causedNoWork(DispatchOutcome outcome) {
		return outcome instanceof DispatchOutcome.NotSent
				|| (outcome instanceof DispatchOutcome.RefusedByTarget refused && refused.draining());
	}

	private static boolean failed(DispatchOutcome outcome) {
		return (outcome instanceof DispatchOutcome.Unknown unknown
				&& unknown.cause() != DispatchOutcome.Unknown.Cause.TOO_LARGE)
				|| (outcome instanceof DispatchOutcome.Answered answered && answered.status() >= SERVER_ERROR);
	}

	private boolean spendRetry() {
		long before = this.budgetMilliRetries.getAndUpdate((milliRetries) -> (milliRetries >= MILLI_RETRIES_PER_RETRY)
				? milliRetries - MILLI_RETRIES_PER_RETRY : milliRetries);
		return before >= MILLI_RETRIES_PER_RETRY;
	}

}
