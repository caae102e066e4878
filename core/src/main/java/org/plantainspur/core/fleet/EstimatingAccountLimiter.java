package org.plantainspur.core.fleet;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;

import org.plantainspur.core.desired.AccountRule;
import org.plantainspur.core.desired.DesiredState;
import org.plantainspur.core.time.Clock;

/**
 * Limits each account by a token bucket that every host estimates from its own requests
 * and the other hosts' reports. An account below its limit is not refused, whichever
 * hosts its callers connect to, and one that sends many times its rate through all hosts
 * is held to its rate and burst. The rate that a source last reported is used until
 * {@link #retainSources} drops the source. Any thread may call {@link #tryAcquire}; only
 * one thread may call the other methods.
 */
public final class EstimatingAccountLimiter implements AccountLimiter {

	/**
	 * An account is near its limit while less than this fraction of its bucket remains.
	 */
	private static final double NEAR_LIMIT_RATIO = 0.5;

	/**
	 * How long a host that has just started limits each account to its initial share of
	 * the account's rate. Heartbeats and digests of all failure domains have arrived by
	 * then.
	 */
	static final long INITIAL_SHARE_MS = 3_000;

	/**
	 * Smallest burst within the initial share, so that an account with a small rate may
	 * still send two requests at once.
	 */
	private static final double MIN_INITIAL_BURST = 2;

	private final Clock clock;

	private final UsageMeter meter;

	private final double initialShare;

	private final long startedMs;

	private final AtomicBoolean includesRemoteUsage = new AtomicBoolean();

	private final ConcurrentMap<String, EstimatedTokenBucket> buckets = new ConcurrentHashMap<>();

	/**
	 * Creates a limiter for a host that has just started.
	 * @param clock the host's clock
	 * @param meter counts the admitted requests
	 * @param hosts the number of the fleet's hosts that usually carry traffic, at least
	 * 1; the initial share is 1 divided by it
	 */
	public EstimatingAccountLimiter(Clock clock, UsageMeter meter, int hosts) {
		this.clock = clock;
		this.meter = meter;
		this.initialShare = 1.0 / hosts;
		this.startedMs = clock.millis();
	}

	@Override
	public boolean tryAcquire(AccountRule account) {
		if (!account.limited()) {
			return true;
		}
		long nowMs = this.clock.millis();
		AccountRule limit = effectiveLimit(account);
		double remaining = bucket(limit).tryTake(limit, nowMs);
		if (remaining < 0) {
			return false;
		}
		this.meter.recordAdmitted(account.name(), remaining < NEAR_LIMIT_RATIO);
		return true;
	}

	// A host that has just started does not know the usage of the other hosts, and all
	// of them may have just started.
	private AccountRule effectiveLimit(AccountRule account) {
		if (this.includesRemoteUsage.get()) {
			return account;
		}
		return new AccountRule(account.name(), account.priority(), account.ratePerSecond() * this.initialShare,
				Math.max(MIN_INITIAL_BURST, account.burst() * this.initialShare));
	}

	/**
	 * Records the usage that a source reported: a host of this failure domain, or the
	 * host that reports the totals of another failure domain.
	 * @param state the desired state in force, with the accounts' limits
	 * @param source the name of the source
	 * @param usage the usage by the account's name
	 */
	public void recordRemoteUsage(DesiredState state, String source, Map<String, AccountUsage> usage) {
		long nowMs = this.clock.millis();
		usage.forEach((name, used) -> {
			AccountRule account = state.accounts().get(name);
			if (account != null && account.limited()) {
				bucket(account).recordRemoteUsage(effectiveLimit(account), source, used, nowMs);
			}
		});
	}

	/**
	 * Drops the rates of the sources that are no longer active, and begins to use those
	 * of the others once {@link #INITIAL_SHARE_MS} has passed. Must be called with each
	 * heartbeat that this host sends.
	 * @param state the desired state in force, with the accounts' limits
	 * @param active tells whether a source is still active
	 */
	public void retainSources(DesiredState state, Predicate<String> active) {
		long nowMs = this.clock.millis();
		if (nowMs - this.startedMs >= INITIAL_SHARE_MS) {
			this.includesRemoteUsage.set(true);
		}
		this.buckets.keySet().removeIf((name) -> !state.accounts().containsKey(name));
		this.buckets.forEach((name, bucket) -> {
			AccountRule account = state.accounts().get(name);
			if (account != null) {
				AccountRule limit = effectiveLimit(account);
				bucket.retainSources(limit, active, nowMs);
				if (this.includesRemoteUsage.get()) {
					bucket.includeRemoteUsage(limit, nowMs);
				}
			}
		});
	}

	private EstimatedTokenBucket bucket(AccountRule account) {
		long nowMs = this.clock.millis();
		return this.buckets.computeIfAbsent(account.name(),
				(name) -> new EstimatedTokenBucket(effectiveLimit(account), nowMs));
	}

}
