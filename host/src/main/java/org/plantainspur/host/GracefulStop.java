package org.plantainspur.host;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongPredicate;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

import org.plantainspur.adapters.http.InFlightRequestCounter;
import org.plantainspur.adapters.http.ShutdownSignal;
import org.plantainspur.adapters.log.Event;
import org.plantainspur.core.time.Clock;

/**
 * Stops the host without cutting a request: gives up its shares, leaves locate answers,
 * serves until callers cannot hold a locate answer that names it, and then waits until
 * nothing is in flight.
 */
final class GracefulStop implements ShutdownSignal {

	private static final Logger logger = LogManager.getLogger(GracefulStop.class);

	private static final long CHECK_INTERVAL_MILLIS = 20;

	private final Clock clock;

	private final Resignation resignation;

	private final InFlightRequestCounter activity;

	private final LongPredicate recordsIdle;

	private final Times times;

	private final AtomicBoolean stopping = new AtomicBoolean();

	GracefulStop(Clock clock, Resignation resignation, InFlightRequestCounter activity, LongPredicate recordsIdle,
			Times times) {
		this.clock = clock;
		this.resignation = resignation;
		this.activity = activity;
		this.recordsIdle = recordsIdle;
		this.times = times;
	}

	@Override
	public boolean stopping() {
		return this.stopping.get();
	}

	/**
	 * Blocks until the host may end.
	 * @throws InterruptedException if the thread is interrupted
	 */
	void run() throws InterruptedException {
		if (!this.stopping.compareAndSet(false, true)) {
			return;
		}
		long started = this.clock.millis();
		logger.info(Event.named("stop-began").with("inFlight", this.activity.inFlight()));
		this.resignation.stopUsingShares();
		// The write may wait for the platform's timeout; serving does not depend on it.
		Thread writer = new Thread(this::resign, "resignation");
		writer.setDaemon(true);
		writer.start();
		while (!done(this.clock.millis() - started)) {
			Thread.sleep(CHECK_INTERVAL_MILLIS);
		}
		logger.info(Event.named("stop-ended").with("millis", this.clock.millis() - started));
	}

	private void resign() {
		logger.info(Event.named("resigned").with("written", this.resignation.resign()));
	}

	private boolean done(long elapsed) {
		if (this.activity.inFlight() > 0 || elapsed < this.times.locateLifetimeMillis()) {
			return false;
		}
		boolean idle = this.activity.idleMillis() >= this.times.idleMillis()
				&& this.recordsIdle.test(this.times.idleMillis());
		return idle || elapsed >= this.times.locateLifetimeMillis() + this.times.longestDeadlineMillis();
	}

	/**
	 * The times of a stop, in milliseconds.
	 *
	 * @param locateLifetimeMillis how long callers may keep a locate answer
	 * @param longestDeadlineMillis the longest deadline of a request
	 * @param idleMillis the time without requests after which the host may end early
	 */
	record Times(long locateLifetimeMillis, long longestDeadlineMillis, long idleMillis) {
	}

}
