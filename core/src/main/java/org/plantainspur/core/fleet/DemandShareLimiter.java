package org.plantainspur.core.fleet;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.desired.AccountRule;
import org.plantainspur.core.time.Clock;

/**
 * Divides an account's rate and burst among the hosts by the demand that each reports, so
 * that the shares add up to the limit and a host with more of the account's callers has
 * more of it. A host that hears nobody keeps its last share.
 */
public final class DemandShareLimiter implements AccountLimiter {

	private static final double THOUSAND = 1_000;

	private final Clock clock;

	private final DemandMeter meter;

	private final AtomicReference<Map<String, Double>> shares = new AtomicReference<>(Map.of());

	private final AtomicReference<Double> unknownShare = new AtomicReference<>(1.0);

	private final ConcurrentMap<String, AtomicReference<Level>> levels = new ConcurrentHashMap<>();

	public DemandShareLimiter(Clock clock, DemandMeter meter) {
		this.clock = clock;
		this.meter = meter;
	}

	/**
	 * Sets this host's share of each account.
	 * @param shares the share by account, from 0 to 1
	 * @param unknownShare the share of an account that no host has reported
	 */
	public void shares(Map<String, Double> shares, double unknownShare) {
		this.shares.set(Map.copyOf(shares));
		this.unknownShare.set(unknownShare);
	}

	@Override
	public boolean tryAcquire(AccountRule account) {
		if (!account.limited()) {
			return true;
		}
		this.meter.arrived(account.name());
		double share = this.shares.get().getOrDefault(account.name(), this.unknownShare.get());
		long now = this.clock.millis();
		AtomicReference<Level> level = this.levels.computeIfAbsent(account.name(),
				(name) -> new AtomicReference<>(new Level(capacity(account, share), now)));
		Level before = level.get();
		while (true) {
			Level filled = before.at(now, account.ratePerSecond() * share, capacity(account, share));
			if (filled.tokens() < 1) {
				return false;
			}
			if (level.compareAndSet(before, new Level(filled.tokens() - 1, now))) {
				return true;
			}
			before = level.get();
		}
	}

	// A share smaller than one request must still be able to gather one.
	private static double capacity(AccountRule account, double share) {
		return Math.max(1, Math.max(account.burst(), account.ratePerSecond()) * share);
	}

	private record Level(double tokens, long atMs) {

		Level at(long now, double ratePerSecond, double capacity) {
			double gained = Math.max(0, now - this.atMs) / THOUSAND * ratePerSecond;
			return new Level(Math.min(capacity, this.tokens + gained), now);
		}

	}

}
