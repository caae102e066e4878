package org.plantainspur.adapters.http;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.plantainspur.core.time.Clock;

/**
 * Counts the requests in flight and tells how long there was none.
 */
public final class CallerActivity {

	private final Clock clock;

	private final AtomicInteger inFlight = new AtomicInteger();

	private final AtomicLong lastEndMillis;

	/**
	 * Creates a count of zero.
	 * @param clock the process clock
	 */
	public CallerActivity(Clock clock) {
		this.clock = clock;
		this.lastEndMillis = new AtomicLong(clock.millis());
	}

	/**
	 * Counts a request in.
	 */
	public void begin() {
		this.inFlight.incrementAndGet();
	}

	/**
	 * Counts a request out.
	 */
	public void end() {
		// The instant is set first, so that no reader sees an idle host with an old
		// instant.
		this.lastEndMillis.set(this.clock.millis());
		this.inFlight.decrementAndGet();
	}

	/**
	 * Returns the number of requests whose answer has not been sent as a whole.
	 * @return the number
	 */
	public int inFlight() {
		return this.inFlight.get();
	}

	/**
	 * Returns how long there was no request in flight.
	 * @return the time in milliseconds, 0 while there is one
	 */
	public long idleMillis() {
		return (this.inFlight.get() > 0) ? 0 : Math.max(0, this.clock.millis() - this.lastEndMillis.get());
	}

}
