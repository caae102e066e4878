package org.plantainspur.core.fleet;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Predicate;

import org.plantainspur.core.desired.AccountRule;
import org.plantainspur.core.desired.DesiredState;
import org.plantainspur.core.time.Clock;

/**
 * Keeps each account within its rate and burst by a token bucket that every host
 * estimates from its own requests and the other hosts' reports. Below the limit nothing
 * is refused wherever the callers connect; answers the load of one account that sends
 * many times its rate through all hosts. A host that hears nobody goes on with the rates
 * that it last heard.
 */
public final class FleetLimiter implements AccountLimiter {

	/** Below this part of its bucket an account presses on its limit. */
	private static final double PRESSED = 0.5;

	private final Clock clock;

	private final UsageMeter meter;

	private final ConcurrentMap<String, FleetBucket> buckets = new ConcurrentHashMap<>();

	public FleetLimiter(Clock clock, UsageMeter meter) {
		this.clock = clock;
		this.meter = meter;
	}

	@Override
	public boolean tryAcquire(AccountRule account) {
		if (!account.limited()) {
			return true;
		}
		double left = bucket(account).tryTake(account, this.clock.millis());
		if (left < 0) {
			return false;
		}
		this.meter.passed(account.name(), left < PRESSED);
		return true;
	}

	/**
	 * Takes a report of what another host or failure domain used.
	 * @param state the desired state
	 * @param source its name
	 * @param usage the usage by account
	 */
	public void reported(DesiredState state, String source, Map<String, Usage> usage) {
		long now = this.clock.millis();
		usage.forEach((name, used) -> {
			AccountRule account = state.accounts().get(name);
			if (account != null && account.limited()) {
				bucket(account).reported(account, source, used, now);
			}
		});
	}

	/**
	 * Forgets the rates of sources that ended.
	 * @param state the desired state
	 * @param counts whether a source still counts
	 */
	public void retain(DesiredState state, Predicate<String> counts) {
		long now = this.clock.millis();
		this.buckets.keySet().removeIf((name) -> !state.accounts().containsKey(name));
		this.buckets.forEach((name, bucket) -> {
			AccountRule account = state.accounts().get(name);
			if (account != null) {
				bucket.retain(account, counts, now);
			}
		});
	}

	private FleetBucket bucket(AccountRule account) {
		return this.buckets.computeIfAbsent(account.name(), (name) -> new FleetBucket(account, this.clock.millis()));
	}

}
