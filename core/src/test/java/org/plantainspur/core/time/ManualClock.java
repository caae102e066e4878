package org.plantainspur.core.time;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A clock that a test advances.
 */
public final class ManualClock implements Clock {

	private final AtomicLong now = new AtomicLong();

	@Override
	public long millis() {
		return this.now.get();
	}

	/**
	 * Advances the clock.
	 * @param millis the milliseconds to add
	 * @return this clock
	 */
	public ManualClock advance(long millis) {
		this.now.addAndGet(millis);
		return this;
	}

}
