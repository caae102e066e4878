package org.plantainspur.core.rate;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.time.Clock;

/**
 * Limits each account at this host alone. It is the baseline for comparison with limits
 * that hosts share.
 */
public final class LocalRateLimiter implements RateLimiter {

	private static final double MILLIS_PER_SECOND = 1000.0;

	private final Clock clock;

	private final ConcurrentMap<String, AtomicReference<Bucket>> buckets = new ConcurrentHashMap<>();

	/**
	 * Creates a limiter whose buckets start full.
	 * @param clock the process clock
	 */
	public LocalRateLimiter(Clock clock) {
		this.clock = clock;
	}

	@Override
	public RateDecision acquire(ClientAccount account, long deadlineMillis) {
		long now = this.clock.millis();
		AtomicReference<Bucket> bucket = this.buckets.computeIfAbsent(account.id(),
				(id) -> new AtomicReference<>(new Bucket(account.burst(), now)));
		Bucket after = bucket.updateAndGet((before) -> before.take(account, now));
		return after.taken() ? new RateDecision.Granted()
				: new RateDecision.Limited((long) Math.ceil(MILLIS_PER_SECOND / account.ratePerSecond()));
	}

	/**
	 * The token bucket of an account.
	 *
	 * @param level the tokens in the bucket
	 * @param atMillis the instant at which the bucket had this level
	 * @param taken whether the request at this instant took a token
	 */
	private record Bucket(double level, long atMillis, boolean taken) {

		Bucket(double level, long atMillis) {
			this(level, atMillis, false);
		}

		Bucket take(ClientAccount account, long now) {
			double refilled = Math.min(account.burst(),
					this.level + (now - this.atMillis) * account.ratePerSecond() / MILLIS_PER_SECOND);
			return (refilled >= 1) ? new Bucket(refilled - 1, now, true) : new Bucket(refilled, now, false);
		}

	}

}
