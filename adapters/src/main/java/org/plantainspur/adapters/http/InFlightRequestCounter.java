package org.plantainspur.adapters.http;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.plantainspur.core.time.Clock;

/**
 * Counts the requests in flight at this host, and measures how long there have been none.
 */
public final class InFlightRequestCounter {

	private final Clock clock;

	private final AtomicInteger inFlight = new AtomicInteger();

	private final AtomicLong lastEndMillis;

	/**
	 * Creates a counter at zero.
	 * @param clock the process clock
	 */
	public InFlightRequestCounter(Clock clock) {
		this.clock = clock;
		this.lastEndMillis = new AtomicLong(clock.millis());
	}

	/**
	 * Records that a request has arrived.
	 */
	public void requestStarted() {
		this.inFlight.incrementAndGet();
	}

	/**
	 * Records that the answer to a request has been sent or has failed.
	 */
	public void requestEnded() {
		// Set before the count drops, so that no reader sees an idle host together with
		// an outdated time.
		this.lastEndMillis.set(this.clock.millis());
		this.inFlight.decrementAndGet();
	}

	/**
	 * Returns the number of requests in flight.
	 * @return the requests whose answer has not been sent completely
	 */
	public int inFlight() {
		return this.inFlight.get();
	}

	/**
	 * Returns how long there has been no request in flight.
	 * @return the time in milliseconds, 0 while a request is in flight
	 */
	public long idleMillis() {
		return (this.inFlight.get() > 0) ? 0 : Math.max(0, this.clock.millis() - this.lastEndMillis.get());
	}

}
