package org.plantainspur.standins.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

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

	private final List<StandInServer> servers = new ArrayList<>();

	/**
	 * Starts the stand-in.
	 * @param port the port on 127.0.0.1, 0 for any free one
	 * @throws IOException if the port cannot be used
	 */
	public PlatformStandIn(int port) throws IOException {
		this(List.of(new Listen("127.0.0.1", port)));
	}

	/**
	 * Starts the stand-in on several addresses, so that faults can tell clients apart by
	 * the address that they use.
	 * @param addresses the addresses; a port of 0 stands for any free one
	 * @throws IOException if an address cannot be used
	 */
	public PlatformStandIn(List<Listen> addresses) throws IOException {
		PlatformRoutes routes = new PlatformRoutes();
		for (Listen address : addresses) {
			this.servers.add(new StandInServer(address.host(), address.port(), routes));
		}
	}

	/**
	 * Returns the port of the first address.
	 * @return the port
	 */
	public int port() {
		return port(0);
	}

	/**
	 * Returns the port of an address.
	 * @param index the place of the address, from 0
	 * @return the port
	 */
	public int port(int index) {
		return this.servers.get(index).port();
	}

	@Override
	public void close() {
		this.servers.forEach(StandInServer::close);
	}

	/**
	 * Runs the stand-in as a process.
	 * @param args the flags, see {@code --help}
	 * @throws Exception if the port cannot be used
	 */
	public static void main(String[] args) throws Exception {
		Programs.run("platform-stand-in", args, Settings::new, (settings) -> {
			List<Listen> addresses = Arrays.stream(settings.address.split(",")).map(Listen::parse).toList();
			PlatformStandIn platform = new PlatformStandIn(addresses);
			System.out.println("platform stand-in listens on " + settings.address + ", first port " + platform.port());
			Thread.currentThread().join();
		});
	}

	/**
	 * The settings.
	 */
	static final class Settings {

		@Setting(flag = "--address", variable = "STANDIN_PLATFORM_ADDRESS", defaultValue = "127.0.0.1:7000",
				pattern = Listen.LIST_PATTERN, help = "ip:port of the stand-in, or several, comma-separated")
		private String address = "";

	}

}
