package org.plantainspur.gateway;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntSupplier;

import org.plantainspur.core.log.DecisionLog;
import org.plantainspur.gateway.http.ProxyParts;

/**
 * Stops the host without cutting a request: it stops being ready, serves callers that
 * have not heard of it yet, and ends shortly before it would be killed.
 */
public final class GracefulStop implements ProxyParts.StopState {

	/** Callers that were told of this host a moment ago still come until then. */
	private static final double SERVE_SHARE = 0.83;

	/** A request that comes later may still run when the process must end. */
	private static final double ACCEPT_SHARE = 0.5;

	/** Answers still on their way to callers; the process is killed after the grace. */
	private static final long KILL_MARGIN_MS = 900;

	private static final long LOOK_MS = 50;

	private final AtomicBoolean stopping = new AtomicBoolean();

	private final AtomicBoolean refusing = new AtomicBoolean();

	private final IntSupplier openRequests;

	private final long graceMs;

	private final DecisionLog log;

	GracefulStop(IntSupplier openRequests, long graceMs, DecisionLog log) {
		this.openRequests = openRequests;
		this.graceMs = graceMs;
		this.log = log;
	}

	/**
	 * Stops the host; returns when the process may end.
	 */
	public void stop() {
		long begun = System.nanoTime();
		this.stopping.set(true);
		this.log.event("stopping", "openRequests", this.openRequests.getAsInt());
		try {
			while (!mayEnd((System.nanoTime() - begun) / 1_000_000)) {
				Thread.sleep(LOOK_MS);
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
	public boolean refusing() {
		return this.refusing.get();
	}

	private boolean mayEnd(long elapsedMs) {
		if (elapsedMs >= this.graceMs * ACCEPT_SHARE && this.refusing.compareAndSet(false, true)) {
			this.log.event("refusing", "openRequests", this.openRequests.getAsInt());
		}
		return elapsedMs >= this.graceMs - KILL_MARGIN_MS
				|| (elapsedMs >= this.graceMs * SERVE_SHARE && this.openRequests.getAsInt() == 0);
	}

}
