package org.plantainspur.standins.target;

import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * The behaviour in force, the slots and the start time of a target.
 */
final class TargetState {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final String id;

	private final int slots;

	private final Semaphore free;

	private final LaggingValue<Active> active;

	private final LaggingValue<Integer> inFlight;

	private volatile long startedNanos = System.nanoTime();

	TargetState(String id, int slots) {
		this.id = id;
		this.slots = slots;
		this.free = new Semaphore(slots, true);
		this.active = new LaggingValue<>(new Active(new Behaviour(), this.startedNanos), this.startedNanos);
		this.inFlight = new LaggingValue<>(0, this.startedNanos);
	}

	String id() {
		return this.id;
	}

	int slots() {
		return this.slots;
	}

	void behave(Behaviour behaviour) {
		long now = System.nanoTime();
		this.active.set(new Active(behaviour, now), now, TimeUnit.HOURS.toNanos(1));
	}

	Active active() {
		return this.active.newest();
	}

	Active activeBefore(long lagMillis) {
		return this.active.at(System.nanoTime() - lagMillis * NANOS_PER_MILLI);
	}

	int inFlightBefore(long lagMillis) {
		return this.inFlight.at(System.nanoTime() - lagMillis * NANOS_PER_MILLI);
	}

	void restarted() {
		this.startedNanos = System.nanoTime();
	}

	long millisSinceStart() {
		return (System.nanoTime() - this.startedNanos) / NANOS_PER_MILLI;
	}

	boolean takeSlot(long waitMillis) {
		try {
			if (this.free.tryAcquire(waitMillis, TimeUnit.MILLISECONDS)) {
				recordLoad();
				return true;
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return false;
	}

	void releaseSlot() {
		this.free.release();
		recordLoad();
	}

	private void recordLoad() {
		this.inFlight.set(this.slots - this.free.availablePermits(), System.nanoTime(),
				active().behaviour().load().lagMillis() * NANOS_PER_MILLI);
	}

	/**
	 * A behaviour with the time since which it is in force.
	 *
	 * @param behaviour the behaviour
	 * @param sinceNanos the time
	 */
	record Active(Behaviour behaviour, long sinceNanos) {

		long millis(long lagMillis) {
			return Math.max(0, (System.nanoTime() - this.sinceNanos) / NANOS_PER_MILLI - lagMillis);
		}

		boolean isSick() {
			return this.behaviour.isSick(millis(0));
		}

		boolean isRefusing() {
			return this.behaviour.isRefusing(millis(0));
		}

	}

}
