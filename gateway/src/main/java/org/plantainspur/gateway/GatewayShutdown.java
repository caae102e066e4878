package org.plantainspur.gateway;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntSupplier;

import org.plantainspur.core.log.DecisionLog;
import org.plantainspur.gateway.http.ProxyComponents;

/**
 * Stops the host gracefully within the grace period. The host reports that it is not
 * ready, still serves callers that do not know of the stop yet, and then refuses new
 * requests. Late in the grace period the stop ends as soon as no request is open, at the
 * latest shortly before the process would be killed.
 */
public final class GatewayShutdown implements ProxyComponents.ShutdownState {

	/**
	 * The fraction of the grace period after which the process ends as soon as no request
	 * is open. Callers that were given this host's address just before the stop still
	 * connect until then.
	 */
	private static final double EARLY_END_FRACTION = 0.83;

	/**
	 * The fraction of the grace period after which new requests are refused, as they
	 * might still be running when the process must end.
	 */
	private static final double ACCEPT_FRACTION = 0.5;

	/**
	 * The process ends this long before the end of the grace period, when it would be
	 * killed, so that responses still reach their callers.
	 */
	private static final long KILL_MARGIN_MS = 900;

	/** How often the stop checks the elapsed time and the open requests. */
	private static final long POLL_INTERVAL_MS = 50;

	private final AtomicBoolean stopping = new AtomicBoolean();

	private final AtomicBoolean refusingRequests = new AtomicBoolean();

	private final IntSupplier openRequests;

	private final long gracePeriodMs;

	private final DecisionLog log;

	GatewayShutdown(IntSupplier openRequests, long gracePeriodMs, DecisionLog log) {
		this.openRequests = openRequests;
		this.gracePeriodMs = gracePeriodMs;
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
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.log.event("stopped", "openRequests", this.openRequests.getAsInt());
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
		if (elapsedMs >= this.gracePeriodMs * ACCEPT_FRACTION && this.refusingRequests.compareAndSet(false, true)) {
			this.log.event("refusing", "openRequests", this.openRequests.getAsInt());
		}
		return elapsedMs >= this.gracePeriodMs - KILL_MARGIN_MS
				|| (elapsedMs >= this.gracePeriodMs * EARLY_END_FRACTION && this.openRequests.getAsInt() == 0);
	}

}
