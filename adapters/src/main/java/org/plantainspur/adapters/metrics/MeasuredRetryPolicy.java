package org.plantainspur.adapters.metrics;

import io.micrometer.core.instrument.Counter;

import org.plantainspur.core.request.DispatchOutcome;
import org.plantainspur.core.request.RetryPolicy;

/**
 * Retry policy decorator that counts the retries that the policy allows.
 */
final class MeasuredRetryPolicy implements RetryPolicy {

	private final RetryPolicy policy;

	private final Counter retries;

	MeasuredRetryPolicy(RetryPolicy policy, Counter retries) {
		this.policy = policy;
		this.retries = retries;
	}

	@Override
	public void requestArrived() {
		this.policy.requestArrived();
	}

	@Override
	public boolean shouldRetry(String service, boolean retryable, DispatchOutcome outcome, int attempts) {
		boolean retry = this.policy.shouldRetry(service, retryable, outcome, attempts);
		if (retry) {
			this.retries.increment();
		}
		return retry;
	}

}
