package org.plantainspur.standins.target;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.plantainspur.standins.http.Request;
import org.plantainspur.standins.http.StandInServer;

/**
 * Simulates a crash of the target: resets every connection and accepts none for the
 * configured time, or ends the process.
 */
final class CrashInjector {

	private static final int EXIT_CRASHED = 70;

	private final TargetState state;

	/** Set after construction, because the server's handler needs this injector. */
	private final CompletableFuture<StandInServer> server = new CompletableFuture<>();

	/** Keeps a crashed target from listening again after the emulator was closed. */
	private volatile boolean closed;

	CrashInjector(TargetState state) {
		this.state = state;
	}

	void close() {
		this.closed = true;
	}

	void setServer(StandInServer started) {
		this.server.complete(started);
	}

	boolean matches(Behaviour.Crash crash, Request request) {
		return ServiceRequestHandler.searchableText(request).contains(crash.onText());
	}

	void crash(Behaviour.Crash crash) {
		if (crash.exit()) {
			Runtime.getRuntime().halt(EXIT_CRASHED);
		}
		StandInServer crashed = this.server.join();
		crashed.close();
		CompletableFuture.delayedExecutor(crash.downMillis(), TimeUnit.MILLISECONDS).execute(() -> restart(crashed));
	}

	private void restart(StandInServer crashed) {
		try {
			if (!this.closed) {
				this.state.recordRestart();
				crashed.listenAgain();
			}
		}
		catch (IOException ex) {
			System.err.println("target " + this.state.id() + " cannot listen on port " + crashed.port() + " again: "
					+ ex.getMessage());
		}
	}

}
