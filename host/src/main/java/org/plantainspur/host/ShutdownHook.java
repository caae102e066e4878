package org.plantainspur.host;

import jakarta.inject.Inject;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.server.Server;

import org.plantainspur.adapters.log.Event;

/**
 * Runs the graceful shutdown on {@code SIGTERM}.
 */
final class ShutdownHook implements StopTrigger {

	private static final Logger logger = LogManager.getLogger(ShutdownHook.class);

	private final GracefulStop gracefulStop;

	@Inject
	ShutdownHook(GracefulStop gracefulStop) {
		this.gracefulStop = gracefulStop;
	}

	@Override
	public void register(Server server) {
		Runtime.getRuntime().addShutdownHook(new Thread(() -> run(server), "graceful-stop"));
	}

	private void run(Server server) {
		int exitCode = 0;
		try {
			this.gracefulStop.run();
			server.stop();
		}
		catch (Exception ex) {
			logger.error(Event.named("stop-failed"), ex);
			exitCode = 1;
		}
		LogManager.shutdown();
		// Without this the exit code of a process ended by a signal would be 143.
		Runtime.getRuntime().halt(exitCode);
	}

}
