package org.plantainspur.standins.target;

import java.io.IOException;

import org.plantainspur.adapters.settings.Setting;
import org.plantainspur.standins.http.ListenAddress;
import org.plantainspur.standins.http.StandInServer;
import org.plantainspur.standins.program.Programs;

/**
 * Emulates one target with a fixed number of slots. {@code PUT /.control/behaviour} sets
 * its service times and failures; {@code GET /.control/runs} returns every action that it
 * started, by the identity of its request.
 */
public final class TargetEmulator implements AutoCloseable {

	private final StandInServer server;

	private final CrashInjector crashInjector;

	/**
	 * Starts the emulator.
	 * @param id the target's name
	 * @param port the port on 127.0.0.1, 0 for any free one
	 * @param slots the number of requests that it runs at a time
	 * @throws IOException if the port cannot be used
	 */
	public TargetEmulator(String id, int port, int slots) throws IOException {
		this(id, "127.0.0.1", port, slots);
	}

	private TargetEmulator(String id, String address, int port, int slots) throws IOException {
		TargetState state = new TargetState(id, slots);
		RunRecords records = new RunRecords();
		this.crashInjector = new CrashInjector(state);
		this.server = new StandInServer(address, port,
				new TargetRoutes(state, records, new ServiceRequestHandler(state, records, this.crashInjector)));
		this.crashInjector.setServer(this.server);
	}

	/**
	 * Returns the port on which the target listens.
	 * @return the TCP port
	 */
	public int port() {
		return this.server.port();
	}

	@Override
	public void close() {
		this.crashInjector.close();
		this.server.close();
	}

	/**
	 * Runs the emulator as a process.
	 * @param args the flags, see {@code --help}
	 * @throws Exception if the port cannot be used
	 */
	public static void main(String[] args) throws Exception {
		Programs.run("target-emulator", args, Settings::new, (settings) -> {
			ListenAddress listen = ListenAddress.parse(settings.address);
			TargetEmulator target = new TargetEmulator(settings.id, listen.host(), listen.port(), settings.slots);
			System.out.println("target " + settings.id + " listens on " + listen.host() + ":" + target.port());
			Thread.currentThread().join();
		});
	}

	/**
	 * The settings of the program.
	 */
	static final class Settings {

		private static final long MAXIMUM_SLOTS = 10_000;

		@Setting(flag = "--id", variable = "STANDIN_TARGET_ID", example = "booking-1", help = "the target's name")
		private String id = "";

		@Setting(flag = "--address", variable = "STANDIN_TARGET_ADDRESS", defaultValue = "127.0.0.1:9000",
				pattern = ListenAddress.PATTERN, help = "ip:port of the target")
		private String address = "";

		@Setting(flag = "--slots", variable = "STANDIN_TARGET_SLOTS", defaultValue = "4", minimum = 1,
				maximum = MAXIMUM_SLOTS, help = "requests that run at a time")
		private int slots;

	}

}
