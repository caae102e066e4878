package org.plantainspur.core.target;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicLong;

import org.plantainspur.core.time.Clock;

/**
 * Permits what targets' statements permit: nothing to a target that is leaving or has
 * asked this host for a pause, and to one that names a limit requests at even intervals,
 * at this host's share of the limit. Permits do not accumulate, so that the hosts
 * together exceed the limit by one request each at most. Thread-safe.
 */
public final class StatementPermits implements TargetPermits {

	/**
	 * The lowest limit that is kept. A target that names a lower one would hardly be
	 * asked again, and only its next response tells that it has withdrawn the limit.
	 */
	static final double MIN_REQUESTS_PER_SECOND = 0.1;

	/**
	 * The longest time over which callers that found no permit are spread. Those beyond
	 * it come back together at its end.
	 */
	static final long MAX_RETRY_AFTER_MS = 5_000;

	/** The time between two callers who come back after a pause of all targets. */
	private static final long RETURN_SPACING_MS = 20;

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
	public StatementPermits(TargetRegistry registry, TargetStatements statements, LimitShare share, Clock clock) {
		this.registry = registry;
		this.statements = statements;
		this.share = share;
		this.clock = clock;
	}

	@Override
	public boolean available(ObservedTarget target) {
		TargetStatements.Entry entry = this.statements.entry(target.incarnation());
		return entry == null || isAvailable(target, entry, this.clock.millis());
	}

	private boolean isAvailable(ObservedTarget target, TargetStatements.Entry entry, long nowMs) {
		return !isWithdrawn(entry, nowMs)
				&& (!entry.statement().limited() || nowMs >= nextLimitedMs(target, entry, nowMs));
	}

	@Override
	public boolean isWithdrawn(ObservedTarget target) {
		TargetStatements.Entry entry = this.statements.entry(target.incarnation());
		return entry != null && isWithdrawn(entry, this.clock.millis());
	}

	private static boolean isWithdrawn(TargetStatements.Entry entry, long nowMs) {
		return entry.statement().leaving() || nowMs < entry.pausedUntilMs();
	}

	@Override
	public boolean tryTake(ObservedTarget target) {
		TargetStatements.Entry entry = this.statements.entry(target.incarnation());
		if (entry == null) {
			return true;
		}
		long nowMs = this.clock.millis();
		if (isWithdrawn(entry, nowMs)) {
			return false;
		}
		if (!entry.statement().limited()) {
			return true;
		}
		long intervalMs = intervalMs(target, entry.statement());
		return intervalMs != Long.MAX_VALUE && entry.pacer().tryTake(nowMs, this.share.heldSinceMs(), intervalMs);
	}

	// Returns when the limit permits the next request, Long.MAX_VALUE if this host has no
	// share.
	private long nextLimitedMs(ObservedTarget target, TargetStatements.Entry entry, long nowMs) {
		long intervalMs = intervalMs(target, entry.statement());
		return (intervalMs != Long.MAX_VALUE) ? entry.pacer().nextMs(nowMs, this.share.heldSinceMs(), intervalMs)
				: Long.MAX_VALUE;
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
		long nowMs = this.clock.millis();
		long firstMs = Long.MAX_VALUE;
		double ownPerMs = 0;
		double allPerMs = 0;
		for (ObservedTarget target : this.registry.targets(service)) {
			TargetStatements.Entry entry = this.statements.entry(target.incarnation());
			if (entry == null || entry.statement().leaving() || isAvailable(target, entry, nowMs)) {
				continue;
			}
			TargetStatement statement = entry.statement();
			boolean limited = statement.limited();
			long intervalMs = limited ? intervalMs(target, statement) : RETURN_SPACING_MS;
			long limitedMs = limited ? nextLimitedMs(target, entry, nowMs) : nowMs;
			firstMs = Math.min(firstMs, Math.max(limitedMs, entry.pausedUntilMs()));
			ownPerMs += (intervalMs != Long.MAX_VALUE) ? 1.0 / intervalMs : 0;
			allPerMs += limited ? limit(statement) / MS_PER_SECOND : 0;
		}
		if (ownPerMs + allPerMs == 0) {
			return 0;
		}
		// The callers of a host without a share find room at the hosts that have one.
		long spacingMs = (long) Math.ceil(1 / ((ownPerMs > 0) ? ownPerMs : allPerMs));
		long earliestMs = (ownPerMs > 0) ? firstMs : nowMs + spacingMs;
		long latestMs = Math.max(earliestMs, nowMs + MAX_RETRY_AFTER_MS);
		long returnMs = this.lastReturnMs.computeIfAbsent(service, (name) -> new AtomicLong(Long.MIN_VALUE / 2))
			.updateAndGet((lastMs) -> Math.min(latestMs, Math.max(earliestMs, lastMs + spacingMs)));
		return Math.max(MIN_RETRY_AFTER_MS, returnMs - nowMs);
	}

}
