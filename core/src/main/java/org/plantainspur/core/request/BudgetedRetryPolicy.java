package org.plantainspur.core.request;

import java.util.concurrent.atomic.AtomicLong;

import org.plantainspur.core.routing.LoadShedding;

/**
 * Retries what a target refused and idempotent work whose outcome is a failure, within a
 * budget and not while the service's targets shed load. The budget is a tenth of a retry
 * for each request, so that retries never add more than 10% to the load of the targets.
 * Attempts that gave no target any work, because nothing was sent or the target is
 * leaving, are followed by another one at any time.
 */
public final class BudgetedRetryPolicy implements RetryPolicy {

	/** The first attempt and two more. */
	static final int MAXIMUM_ATTEMPTS = 3;

	/**
	 * A request is run by at most two targets, so that one that crashes targets takes
	 * down no third.
	 */
	static final int MAXIMUM_RUNS = 2;

	private static final long EARNED_PER_REQUEST = 100;

	private static final long COST_PER_RETRY = 1000;

	/** A quiet host may make this many retries in a row. */
	private static final long MAXIMUM_BUDGET = 10 * COST_PER_RETRY;

	private static final int SERVER_ERROR = 500;

	private final AtomicLong budget = new AtomicLong(MAXIMUM_BUDGET);

	private final LoadShedding loadShedding;

	/**
	 * Creates a policy with a full budget.
	 * @param loadShedding whether the targets of a service shed load
	 */
	public BudgetedRetryPolicy(LoadShedding loadShedding) {
		this.loadShedding = loadShedding;
	}

	@Override
	public void requestArrived() {
		this.budget.getAndUpdate((value) -> Math.min(MAXIMUM_BUDGET, value + EARNED_PER_REQUEST));
	}

	@Override
	public boolean retry(String service, boolean repeatable, DispatchOutcome outcome, int attempts) {
		if (attempts >= MAXIMUM_ATTEMPTS) {
			return false;
		}
		if (gaveNoWork(outcome)) {
			return true;
		}
		boolean safe = outcome instanceof DispatchOutcome.RefusedByTarget
				|| (repeatable && attempts < MAXIMUM_RUNS && failed(outcome));
		return safe && !this.loadShedding.shedding(service) && spend();
	}

	private static boolean gaveNoWork(DispatchOutcome outcome) {
		return outcome instanceof DispatchOutcome.NotSent
				|| (outcome instanceof DispatchOutcome.RefusedByTarget refused && refused.draining());
	}

	private static boolean failed(DispatchOutcome outcome) {
		return (outcome instanceof DispatchOutcome.Unknown unknown
				&& unknown.cause() != DispatchOutcome.Unknown.Cause.TOO_LARGE)
				|| (outcome instanceof DispatchOutcome.Answered answered && answered.status() >= SERVER_ERROR);
	}

	private boolean spend() {
		long before = this.budget.getAndUpdate((value) -> (value >= COST_PER_RETRY) ? value - COST_PER_RETRY : value);
		return before >= COST_PER_RETRY;
	}

}
