package org.plantainspur.core.routing;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.health.OutcomeRecorder;
import org.plantainspur.core.time.Clock;

/**
 * Limits the requests that this host may have in flight on each target: multiplicative
 * decrease when the target sheds load, additive increase while it answers successfully.
 */
public final class AdaptiveLimits implements OutcomeRecorder {

	/** The limit is multiplied by this factor when the target sheds load. */
	private static final double DECREASE_FACTOR = 0.7;

	/**
	 * The minimum time between two decreases, so that the refusals of one overload lower
	 * the limit only once.
	 */
	private static final long DECREASE_INTERVAL_MILLIS = 200;

	/** How long a target counts as overloaded after a refusal decreased its limit. */
	private static final long SHEDDING_WINDOW_MILLIS = 2000;

	private final Clock clock;

	private final ConcurrentMap<String, TargetState> targets = new ConcurrentHashMap<>();

	/**
	 * Creates limits that start unlimited; only the connection limits apply until a
	 * target sheds load.
	 * @param clock the process clock
	 */
	public AdaptiveLimits(Clock clock) {
		this.clock = clock;
	}

	@Override
	public void record(Outcome outcome) {
		TargetState state = state(outcome.target().id());
		if (outcome.kind() == Kind.SHED) {
			long now = this.clock.millis();
			int inFlight = state.inFlight.get();
			state.limit.updateAndGet((previous) -> previous.decrease(inFlight, now));
		}
		else if (outcome.kind() == Kind.SUCCESS) {
			state.limit.updateAndGet(Limit::increase);
		}
	}

	// A leaving target refuses requests because it leaves, not because it is overloaded.
	@Override
	public void targetLeaving(Target target) {
		TargetState state = this.targets.get(target.id());
		if (state != null) {
			state.limit.updateAndGet(Limit::withoutShedding);
		}
	}

	/**
	 * Counts a request in flight on a target if the limits allow it.
	 * @param targetId the target's id
	 * @param connections the number of connections that this host may use
	 * @return whether the request may be sent
	 */
	boolean tryAcquire(String targetId, int connections) {
		TargetState state = state(targetId);
		int allowed = Math.min(connections, state.limit.get().maxInFlight());
		int taken = state.inFlight.getAndUpdate((count) -> (count < allowed) ? count + 1 : count);
		return taken < allowed;
	}

	void release(String targetId) {
		state(targetId).inFlight.decrementAndGet();
	}

	boolean hasCapacity(String targetId, int connections) {
		TargetState state = state(targetId);
		return state.inFlight.get() < Math.min(connections, state.limit.get().maxInFlight());
	}

	/**
	 * Returns how many requests from this host are in flight on a target.
	 * @param targetId the target's id
	 * @return the number of requests
	 */
	public int inFlight(String targetId) {
		TargetState state = this.targets.get(targetId);
		return (state != null) ? state.inFlight.get() : 0;
	}

	/**
	 * Returns whether the refusal of a request has decreased a target's limit in the last
	 * two seconds.
	 * @param targetId the target's id
	 * @return whether the target sheds load
	 */
	public boolean shedding(String targetId) {
		TargetState state = this.targets.get(targetId);
		return state != null && this.clock.millis() < state.limit.get().shedAtMillis() + SHEDDING_WINDOW_MILLIS;
	}

	private TargetState state(String targetId) {
		return this.targets.computeIfAbsent(targetId, (id) -> new TargetState());
	}

	private static final class TargetState {

		private final AtomicInteger inFlight = new AtomicInteger();

		private final AtomicReference<Limit> limit = new AtomicReference<>(Limit.UNLIMITED);

	}

	/**
	 * The limit of one target.
	 *
	 * @param value the requests that may be in flight, with the fraction gained so far
	 * @param shedAtMillis the instant of the last decrease, {@link #NEVER} if there was
	 * none or the target has started to leave since
	 */
	private record Limit(double value, long shedAtMillis) {

		/** Stands for no limit, since no target has so many connections. */
		private static final double MAX_VALUE = 1_000_000;

		/**
		 * An instant long past; {@link Long#MIN_VALUE} would overflow when subtracted.
		 */
		private static final long NEVER = Long.MIN_VALUE / 2;

		static final Limit UNLIMITED = new Limit(MAX_VALUE, NEVER);

		int maxInFlight() {
			return (int) Math.max(1, this.value);
		}

		// Adds one request after as many successes as the limit has requests.
		Limit increase() {
			return (this.value >= MAX_VALUE) ? this
					: new Limit(Math.min(MAX_VALUE, this.value + 1 / this.value), this.shedAtMillis);
		}

		// Decreases from the requests in flight if the limit is larger, since an unused
		// part of the limit says nothing about the target's capacity.
		Limit decrease(int inFlight, long now) {
			if (now - this.shedAtMillis < DECREASE_INTERVAL_MILLIS) {
				return this;
			}
			return new Limit(Math.max(1, Math.min(this.value, inFlight) * DECREASE_FACTOR), now);
		}

		Limit withoutShedding() {
			return (this.shedAtMillis == NEVER) ? this : new Limit(this.value, NEVER);
		}

	}

}
