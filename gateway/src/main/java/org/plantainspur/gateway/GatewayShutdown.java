package org.plantainspur.gateway;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntSupplier;

import org.plantainspur.core.log.DecisionLog;
import org.plantainspur.core.proxy.ShutdownSchedule;
import org.plantainspur.gateway.http.CallerChannels;
import org.plantainspur.gateway.http.ProxyComponents;

/**
 * Stops the host gracefully within the grace period, in the phases of
 * {@link ShutdownSchedule}. Requests that are still open at its end get a response that
 * says whether they may have run.
 */
public final class GatewayShutdown implements ProxyComponents.ShutdownState {

	/** How often the stop checks the elapsed time and the open requests. */
	private static final long POLL_INTERVAL_MS = 50;

	/** How long requests are still read after the callers' port was closed. */
	private static final long LAST_REQUESTS_MS = 100;

	/** How long the last responses may take to reach their callers. */
	private static final long LAST_RESPONSES_MS = 200;

	private final AtomicBoolean stopping = new AtomicBoolean();

	private final AtomicBoolean refusingRequests = new AtomicBoolean();

	private final IntSupplier openRequests;

	private final ShutdownSchedule schedule;

	private final CallerChannels callerChannels;

	private final DecisionLog log;

	/**
	 * Creates the handle of a host that is not stopping.
	 * @param openRequests returns the number of requests that have no response yet
	 * @param schedule the phases of the stop
	 * @param callerChannels the callers' port and connections, which end with the stop
	 * @param log receives the phases
	 */
	GatewayShutdown(IntSupplier openRequests, ShutdownSchedule schedule, CallerChannels callerChannels,
			DecisionLog log) {
		this.openRequests = openRequests;
		this.schedule = schedule;
		this.callerChannels = callerChannels;
		this.log = log;
	}

	/**
	 * Stops the host; blocks until the process may end.
	 */
	public void stop() {
		long startedNanos = System.nanoTime();
		this.stopping.set(true);
		this.log.event("stopping", "openRequests", this.openRequests.getAsInt());
		try {
			while (!mayEnd((System.nanoTime() - startedNanos) / 1_000_000)) {
				Thread.sleep(POLL_INTERVAL_MS);
			}
			// Requests on connections that were accepted just now are still read and
			// refused.
			this.callerChannels.closePort();
			Thread.sleep(LAST_REQUESTS_MS);
			int unfinished = this.openRequests.getAsInt();
			this.callerChannels.endRequests();
			if (unfinished > 0) {
				this.log.event("ended-open-requests", "openRequests", unfinished);
				awaitResponses();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.log.event("stopped", "openRequests", this.openRequests.getAsInt());
	}

	private void awaitResponses() throws InterruptedException {
		long endNanos = System.nanoTime() + LAST_RESPONSES_MS * 1_000_000;
		while (this.openRequests.getAsInt() > 0 && System.nanoTime() < endNanos) {
			Thread.sleep(POLL_INTERVAL_MS);
		}
	}

	@Override
	public boolean stopping() {
		return this.stopping.get();
	}

	@Override
	public boolean refusingRequests() {
		return this.refusingRequests.get();
	}

	// Begins to refuse requests when it is time, and returns whether the process may end.
	private boolean mayEnd(long elapsedMs) {
		if (this.schedule.refusesRequests(elapsedMs) && this.refusingRequests.compareAndSet(false, true)) {
			this.log.event("refusing", "openRequests", this.openRequests.getAsInt());
		}
		return this.schedule.mayEnd(elapsedMs, this.openRequests.getAsInt());
	}

}
