package org.plantainspur.gateway.http;

import java.util.concurrent.CompletableFuture;

/**
 * Opens once, when a process that has just started knows the desired state and the
 * targets. Requests that arrive earlier wait for it for a short time: when all processes
 * were killed and restarted, callers connect again before the store has been read.
 */
public final class StartupLatch {

	private final CompletableFuture<Void> opened = new CompletableFuture<>();

	/** Opens the latch and runs the waiting tasks. Further calls have no effect. */
	public void open() {
		this.opened.complete(null);
	}

	/**
	 * Returns whether the latch is open.
	 * @return {@code true} once {@link #open()} was called
	 */
	public boolean isOpen() {
		return this.opened.isDone();
	}

	/**
	 * Runs a task when the latch opens, or at once if it is open.
	 * @param task runs on the thread that opens the latch, or on the calling thread
	 */
	public void whenOpen(Runnable task) {
		this.opened.thenRun(task);
	}

}
