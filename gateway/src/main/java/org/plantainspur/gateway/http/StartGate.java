package org.plantainspur.gateway.http;

import java.util.concurrent.CompletableFuture;

/**
 * Opens once, when a process that has just started knows the desired state and the
 * targets. Requests that come before wait for it for a moment: after all processes were
 * killed, callers are back before the store has been read.
 */
public final class StartGate {

	private final CompletableFuture<Void> opened = new CompletableFuture<>();

	/** Lets all waiting requests go on. Further calls do nothing. */
	public void open() {
		this.opened.complete(null);
	}

	/**
	 * Returns whether the gate is open.
	 * @return {@code true} once {@link #open()} was called
	 */
	public boolean isOpen() {
		return this.opened.isDone();
	}

	/**
	 * Runs a task when the gate opens, or at once if it is open.
	 * @param task the task; it runs on the thread that opens the gate
	 */
	public void whenOpen(Runnable task) {
		this.opened.thenRun(task);
	}

}
