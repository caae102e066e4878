package org.plantainspur.core.target;

import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;

import org.plantainspur.core.time.Clock;

/**
 * Permits requests to a target that names a limit at this host's share of the limit, at
 * even intervals. Permits do not accumulate, so that the hosts together exceed the limit
 * by one request each at most. Thread-safe.
 */
public final class LimitPermits implements TargetPermits {

	/**
	 * The lowest limit that is kept. A target that names a lower one would hardly be
	 * asked again, and only its next response tells that it has withdrawn the limit.
	 */
	static final double MIN_REQUESTS_PER_SECOND = 0.1;

	/** The longest time after which a caller that found no permit should come back. */
	static final long MAX_RETRY_AFTER_MS = 5_000;

	private static final long MIN_RETRY_AFTER_MS = 50;

	private static final double MS_PER_SECOND = 1_000;

	private final TargetRegistry registry;

	private final TargetStatements statements;

	private final LimitShare share;

	private final Clock clock;

	/** When the last caller that found no permit was told to come back, by service. */
	private final ConcurrentMap<String, AtomicLong> lastReturnMs = new ConcurrentHashMap<>();

	/**
	 * Creates the permits.
	 * @param registry the listed targets
	 * @param statements the limits that targets name
	 * @param share divides the limits among the hosts
	 * @param clock the host's clock
	 */
	public LimitPermits(TargetRegistry registry, TargetStatements statements, LimitShare share, Clock clock) {
		this.registry = registry;
		this.statements = statements;
		this.share = share;
		this.clock = clock;
	}

	@Override
	public boolean available(ObservedTarget target) {
		TargetStatement statement = this.statements.of(target.incarnation());
		return !statement.limited() || this.clock.millis() >= nextMs(target, statement);
	}

	@Override
	public boolean tryTake(ObservedTarget target) {
		TargetStatement statement = this.statements.of(target.incarnation());
		if (!statement.limited()) {
			return true;
		}
		long intervalMs = intervalMs(target, statement);
		return intervalMs != Long.MAX_VALUE && this.statements.pacer(target.incarnation())
			.tryTake(this.clock.millis(), this.share.heldSinceMs(), intervalMs);
	}

	// Returns when the next permit is available, Long.MAX_VALUE if this host has no
	// share.
	private long nextMs(ObservedTarget target, TargetStatement statement) {
		long intervalMs = intervalMs(target, statement);
		return (intervalMs != Long.MAX_VALUE) ? this.statements.pacer(target.incarnation())
			.nextMs(this.clock.millis(), this.share.heldSinceMs(), intervalMs) : Long.MAX_VALUE;
	}

	private long intervalMs(ObservedTarget target, TargetStatement statement) {
		double fraction = this.share.of(target.listing());
		if (fraction <= 0) {
			return Long.MAX_VALUE;
		}
		return (long) Math.ceil(MS_PER_SECOND / (limit(statement) * fraction));
	}

	private static double limit(TargetStatement statement) {
		return Math.max(MIN_REQUESTS_PER_SECOND, statement.requestsPerSecond());
	}

	@Override
	public long retryAfterMs(String service) {
		List<ObservedTarget> limited = this.registry.targets(service)
			.stream()
			.filter((target) -> this.statements.of(target.incarnation()).limited())
			.toList();
		if (limited.isEmpty()) {
			return 0;
		}
		long nowMs = this.clock.millis();
		long firstMs = Long.MAX_VALUE;
		double ownPerMs = 0;
		double allPerMs = 0;
		for (ObservedTarget target : limited) {
			TargetStatement statement = this.statements.of(target.incarnation());
			long intervalMs = intervalMs(target, statement);
			firstMs = Math.min(firstMs, nextMs(target, statement));
			ownPerMs += (intervalMs != Long.MAX_VALUE) ? 1.0 / intervalMs : 0;
			allPerMs += limit(statement) / MS_PER_SECOND;
		}
		// The callers of a host without a share find room at the hosts that have one.
		long spacingMs = (long) Math.ceil(1 / ((ownPerMs > 0) ? ownPerMs : allPerMs));
		long earliestMs = (ownPerMs > 0) ? firstMs : nowMs + spacingMs;
		long returnMs = this.lastReturnMs.computeIfAbsent(service, (name) -> new AtomicLong(Long.MIN_VALUE / 2))
			.updateAndGet((lastMs) -> Math.min(nowMs + MAX_RETRY_AFTER_MS, Math.max(earliestMs, lastMs + spacingMs)));
		return Math.max(MIN_RETRY_AFTER_MS, returnMs - nowMs);
	}

}
