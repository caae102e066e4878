package org.plantainspur.host;

import jakarta.inject.Inject;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.eclipse.jetty.server.Server;

import org.plantainspur.adapters.log.Event;

/**
 * Runs the graceful shutdown in a shutdown hook of the JVM, such as on {@code SIGTERM}.
 */
final class ShutdownHook implements ShutdownTrigger {

	private static final Logger logger = LogManager.getLogger(ShutdownHook.class);

	private final GracefulShutdown gracefulShutdown;

	@Inject
	ShutdownHook(GracefulShutdown gracefulShutdown) {
		this.gracefulShutdown = gracefulShutdown;
	}

	@Override
	public void register(Server server) {
		Runtime.getRuntime().addShutdownHook(new Thread(() -> run(server), "graceful-stop"));
	}

	private void run(Server server) {
		int exitCode = 0;
		try {
			this.gracefulShutdown.run();
			server.stop();
		}
		catch (Exception ex) {
			logger.error(Event.named("stop-failed"), ex);
			exitCode = 1;
		}
		LogManager.shutdown();
		// Without this call, a process that SIGTERM ends exits with code 143.
		Runtime.getRuntime().halt(exitCode);
	}

}
