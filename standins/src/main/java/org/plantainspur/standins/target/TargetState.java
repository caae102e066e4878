package org.plantainspur.standins.target;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * The state of an emulated target: its behaviour, its slots and its start time.
 */
final class TargetState {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final String id;

	private final int slots;

	private final Semaphore freeSlots;

	private final ValueHistory<ActiveBehaviour> behaviours;

	private final ValueHistory<Integer> inFlightCounts;

	private volatile long startedNanos = System.nanoTime();

	TargetState(String id, int slots) {
		this.id = id;
		this.slots = slots;
		this.freeSlots = new Semaphore(slots, true);
		this.behaviours = new ValueHistory<>(new ActiveBehaviour(new Behaviour(), this.startedNanos),
				this.startedNanos);
		this.inFlightCounts = new ValueHistory<>(0, this.startedNanos);
	}

	String id() {
		return this.id;
	}

	int slots() {
		return this.slots;
	}

	void setBehaviour(Behaviour behaviour) {
		long now = System.nanoTime();
		// Keeps one hour, the largest lag of the health endpoint that a later behaviour
		// may set.
		this.behaviours.set(new ActiveBehaviour(behaviour, now), now, TimeUnit.HOURS.toNanos(1));
	}

	ActiveBehaviour activeBehaviour() {
		return this.behaviours.newestValue();
	}

	ActiveBehaviour activeBehaviourBefore(long lagMillis) {
		return this.behaviours.valueAt(System.nanoTime() - lagMillis * NANOS_PER_MILLI);
	}

	int inFlightBefore(long lagMillis) {
		return this.inFlightCounts.valueAt(System.nanoTime() - lagMillis * NANOS_PER_MILLI);
	}

	void recordRestart() {
		this.startedNanos = System.nanoTime();
	}

	long millisSinceStart() {
		return (System.nanoTime() - this.startedNanos) / NANOS_PER_MILLI;
	}

	boolean acquireSlot(long waitMillis) {
		try {
			if (this.freeSlots.tryAcquire(waitMillis, TimeUnit.MILLISECONDS)) {
				recordInFlight();
				return true;
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return false;
	}

	void releaseSlot() {
		this.freeSlots.release();
		recordInFlight();
	}

	private void recordInFlight() {
		this.inFlightCounts.set(this.slots - this.freeSlots.availablePermits(), System.nanoTime(),
				activeBehaviour().behaviour().load().lagMillis() * NANOS_PER_MILLI);
	}

	/**
	 * A behaviour and when it was set.
	 *
	 * @param behaviour how the target responds
	 * @param sinceNanos when the behaviour was set, as of {@link System#nanoTime()}
	 */
	record ActiveBehaviour(Behaviour behaviour, long sinceNanos) {

		/**
		 * Returns how long the behaviour had been set at an earlier time.
		 * @param lagMillis how long ago that time was, in milliseconds; 0 for now
		 * @return the time in milliseconds, 0 if the behaviour was set later
		 */
		long activeMillis(long lagMillis) {
			return Math.max(0, (System.nanoTime() - this.sinceNanos) / NANOS_PER_MILLI - lagMillis);
		}

		boolean isImpaired() {
			return this.behaviour.isImpaired(activeMillis(0));
		}

		boolean isRefusing() {
			return this.behaviour.isRefusing(activeMillis(0));
		}

	}

}
