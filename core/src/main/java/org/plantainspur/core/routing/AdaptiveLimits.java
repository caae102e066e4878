package org.plantainspur.core.routing;

import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import org.plantainspur.core.health.OutcomeRecorder;
import org.plantainspur.core.time.Clock;

/**
 * How many requests this host may have in flight on each target: multiplicative decrease
 * when the target sheds load, additive increase while it answers.
 */
public final class AdaptiveLimits implements OutcomeRecorder {

	private static final double DECREASE = 0.7;

	/** A burst of refusals that one overload caused lowers the limit once. */
	private static final long DECREASE_INTERVAL_MILLIS = 200;

	/** Refusals tell of overload for this long; see {@link SheddingTargets}. */
	private static final long SHEDDING_MILLIS = 2000;

	private final Clock clock;

	private final ConcurrentMap<String, Slot> slots = new ConcurrentHashMap<>();

	/**
	 * Creates limits that only the connection limits bound.
	 * @param clock the process clock
	 */
	public AdaptiveLimits(Clock clock) {
		this.clock = clock;
	}

	@Override
	public void record(Outcome outcome) {
		Slot slot = slot(outcome.target().id());
		if (outcome.kind() == Kind.SHED) {
			long now = this.clock.millis();
			int inFlight = slot.inFlight.get();
			slot.limit.updateAndGet((old) -> old.decrease(inFlight, now));
		}
		else if (outcome.kind() == Kind.SUCCESS) {
			slot.limit.updateAndGet(Limit::increase);
		}
	}

	// A leaving target refuses because it leaves, which tells of no overload.
	@Override
	public void targetLeaving(Target target) {
		Slot slot = this.slots.get(target.id());
		if (slot != null) {
			slot.limit.updateAndGet(Limit::withoutShedding);
		}
	}

	/**
	 * Takes a place on a target.
	 * @param targetId the target
	 * @param connections the connections that this host may use
	 * @return whether there was a place
	 */
	boolean tryAcquire(String targetId, int connections) {
		Slot slot = slot(targetId);
		int allowed = Math.min(connections, slot.limit.get().whole());
		int taken = slot.inFlight.getAndUpdate((count) -> (count < allowed) ? count + 1 : count);
		return taken < allowed;
	}

	void release(String targetId) {
		slot(targetId).inFlight.decrementAndGet();
	}

	boolean free(String targetId, int connections) {
		Slot slot = slot(targetId);
		return slot.inFlight.get() < Math.min(connections, slot.limit.get().whole());
	}

	/**
	 * Returns the requests in flight from this host.
	 * @param targetId the target
	 * @return the number
	 */
	public int inFlight(String targetId) {
		Slot slot = this.slots.get(targetId);
		return (slot != null) ? slot.inFlight.get() : 0;
	}

	/**
	 * Returns whether a target has refused work lately.
	 * @param targetId the target
	 * @return whether it sheds load
	 */
	public boolean shedding(String targetId) {
		Slot slot = this.slots.get(targetId);
		return slot != null && this.clock.millis() < slot.limit.get().shedAtMillis() + SHEDDING_MILLIS;
	}

	private Slot slot(String targetId) {
		return this.slots.computeIfAbsent(targetId, (id) -> new Slot());
	}

	private static final class Slot {

		private final AtomicInteger inFlight = new AtomicInteger();

		private final AtomicReference<Limit> limit = new AtomicReference<>(Limit.OPEN);

	}

	private record Limit(double value, long shedAtMillis) {

		private static final double LARGEST = 1_000_000;

		private static final long NEVER = Long.MIN_VALUE / 2;

		static final Limit OPEN = new Limit(LARGEST, NEVER);

		int whole() {
			return (int) Math.max(1, this.value);
		}

		Limit increase() {
			return (this.value >= LARGEST) ? this
					: new Limit(Math.min(LARGEST, this.value + 1 / this.value), this.shedAtMillis);
		}

		// Starts from what was in flight, since an unused limit says nothing.
		Limit decrease(int inFlight, long now) {
			if (now - this.shedAtMillis < DECREASE_INTERVAL_MILLIS) {
				return this;
			}
			return new Limit(Math.max(1, Math.min(this.value, inFlight) * DECREASE), now);
		}

		Limit withoutShedding() {
			return (this.shedAtMillis == NEVER) ? this : new Limit(this.value, NEVER);
		}

	}

}
