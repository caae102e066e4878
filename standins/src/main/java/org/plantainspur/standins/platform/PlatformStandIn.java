package org.plantainspur.standins.platform;

import java.io.IOException;

import org.plantainspur.adapters.settings.Setting;
import org.plantainspur.standins.http.Listen;
import org.plantainspur.standins.http.StandInServer;
import org.plantainspur.standins.program.Programs;

/**
 * Serves the platform's interface from memory and causes faults on demand. The host list
 * is replaced by {@code PUT /hosts}, the faults by {@code PUT /.control/faults};
 * {@code GET /.control/counters} gives the reads and writes per second with their peaks.
 */
public final class PlatformStandIn implements AutoCloseable {

	private final StandInServer server;

	/**
	 * Starts the stand-in.
	 * @param port the port on 127.0.0.1, 0 for any free one
	 * @throws IOException if the port cannot be used
	 */
	public PlatformStandIn(int port) throws IOException {
		this("127.0.0.1", port);
	}

	private PlatformStandIn(String address, int port) throws IOException {
		this.server = new StandInServer(address, port, new PlatformRoutes());
	}

	/**
	 * Returns the port.
	 * @return the port
	 */
	public int port() {
		return this.server.port();
	}

	@Override
	public void close() {
		this.server.close();
	}

	/**
	 * Runs the stand-in as a process.
	 * @param args the flags, see {@code --help}
	 * @throws Exception if the port cannot be used
	 */
	public static void main(String[] args) throws Exception {
		Programs.run("platform-stand-in", args, Settings::new, (settings) -> {
			Listen listen = Listen.parse(settings.address);
			PlatformStandIn platform = new PlatformStandIn(listen.host(), listen.port());
			System.out.println("platform stand-in listens on " + listen.host() + ":" + platform.port());
			Thread.currentThread().join();
		});
	}

	/**
	 * The settings.
	 */
	static final class Settings {

		@Setting(flag = "--address", variable = "STANDIN_PLATFORM_ADDRESS", defaultValue = "127.0.0.1:7000",
				pattern = Listen.PATTERN, help = "ip:port of the stand-in")
		private String address = "";

	}

}
