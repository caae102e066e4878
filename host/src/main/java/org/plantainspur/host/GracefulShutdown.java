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
 * Stops the host without interrupting a request. The host gives up its shares of rate
 * limits, is left out of locate answers, and serves until no caller can still use a
 * locate answer that names it. Then it waits until no request is in flight and, for a
 * limited time, until none has arrived for a while.
 */
final class GracefulShutdown implements ShutdownSignal {

	private static final Logger logger = LogManager.getLogger(GracefulShutdown.class);

	private static final long CHECK_INTERVAL_MILLIS = 20;

	private final Clock clock;

	private final Resignation resignation;

	private final InFlightRequestCounter inFlightRequests;

	private final LongPredicate idempotencyRegistryIdle;

	private final Durations durations;

	private final AtomicBoolean stopping = new AtomicBoolean();

	GracefulShutdown(Clock clock, Resignation resignation, InFlightRequestCounter inFlightRequests,
			LongPredicate idempotencyRegistryIdle, Durations durations) {
		this.clock = clock;
		this.resignation = resignation;
		this.inFlightRequests = inFlightRequests;
		this.idempotencyRegistryIdle = idempotencyRegistryIdle;
		this.durations = durations;
	}

	@Override
	public boolean stopping() {
		return this.stopping.get();
	}

	/**
	 * Shuts down and blocks until the process may end. A second call returns at once.
	 * @throws InterruptedException if the calling thread is interrupted while it waits
	 */
	void run() throws InterruptedException {
		if (!this.stopping.compareAndSet(false, true)) {
			return;
		}
		long startedMillis = this.clock.millis();
		logger.info(Event.named("stop-began").with("inFlight", this.inFlightRequests.inFlight()));
		this.resignation.stopUsingShares();
		// Runs on its own thread, since the write may take as long as the platform's
		// timeout and serving does not depend on it.
		Thread writer = new Thread(this::writeResignation, "resignation");
		writer.setDaemon(true);
		writer.start();
		while (!mayEnd(this.clock.millis() - startedMillis)) {
			Thread.sleep(CHECK_INTERVAL_MILLIS);
		}
		logger.info(Event.named("stop-ended").with("millis", this.clock.millis() - startedMillis));
	}

	private void writeResignation() {
		logger.info(Event.named("resigned").with("written", this.resignation.resign()));
	}

	private boolean mayEnd(long elapsedMillis) {
		if (this.inFlightRequests.inFlight() > 0 || elapsedMillis < this.durations.locateLifetimeMillis()) {
			return false;
		}
		boolean idle = this.inFlightRequests.idleMillis() >= this.durations.idleMillis()
				&& this.idempotencyRegistryIdle.test(this.durations.idleMillis());
		return idle || elapsedMillis >= this.durations.locateLifetimeMillis() + this.durations.longestDeadlineMillis();
	}

	/**
	 * The durations that bound a shutdown, in milliseconds.
	 *
	 * @param locateLifetimeMillis how long callers may use a locate answer
	 * @param longestDeadlineMillis the longest deadline of a request; once this time has
	 * passed after the lifetime, the shutdown waits only for requests in flight
	 * @param idleMillis how long there must have been no request before the process may
	 * end earlier than that
	 */
	record Durations(long locateLifetimeMillis, long longestDeadlineMillis, long idleMillis) {
	}

}
