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
 * is held to its rate and burst. An isolated host continues with the rates that were last
 * reported to it.
 */
public final class EstimatingAccountLimiter implements AccountLimiter {

	/**
	 * An account is near its limit while less than this fraction of its bucket remains.
	 */
	private static final double NEAR_LIMIT_RATIO = 0.5;

	/**
	 * How long a host that has just started keeps to its initial share. Heartbeats and
	 * digests of all failure domains have arrived by then.
	 */
	static final long INITIAL_SHARE_MS = 3_000;

	/**
	 * The initial share still allows two requests together to an account with a small
	 * rate.
	 */
	private static final double MIN_BURST = 2;

	private final Clock clock;

	private final UsageMeter meter;

	private final double initialShare;

	private final long startedMs;

	private final AtomicBoolean includesRemote = new AtomicBoolean();

	private final ConcurrentMap<String, EstimatedTokenBucket> buckets = new ConcurrentHashMap<>();

	/**
	 * Creates a limiter for a host that has just started.
	 * @param clock the host's clock
	 * @param meter counts the admitted requests
	 * @param hosts the number of the fleet's hosts that usually carry traffic, at least 1
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
		if (this.includesRemote.get()) {
			return account;
		}
		return new AccountRule(account.name(), account.priority(), account.ratePerSecond() * this.initialShare,
				Math.max(MIN_BURST, account.burst() * this.initialShare));
	}

	/**
	 * Records the reported usage of another host or failure domain.
	 * @param state the desired state in force, with the accounts' limits
	 * @param source the name of the reporting host or failure domain
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
	 * Removes the rates of sources that are no longer active. Called with each heartbeat.
	 * @param state the desired state in force, with the accounts' limits
	 * @param active tells whether a source is still active
	 */
	public void retainSources(DesiredState state, Predicate<String> active) {
		long nowMs = this.clock.millis();
		if (nowMs - this.startedMs >= INITIAL_SHARE_MS) {
			this.includesRemote.set(true);
		}
		this.buckets.keySet().removeIf((name) -> !state.accounts().containsKey(name));
		this.buckets.forEach((name, bucket) -> {
			AccountRule account = state.accounts().get(name);
			if (account != null) {
				AccountRule limit = effectiveLimit(account);
				bucket.retainSources(limit, active, nowMs);
				if (this.includesRemote.get()) {
					bucket.includeRemote(limit, nowMs);
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
