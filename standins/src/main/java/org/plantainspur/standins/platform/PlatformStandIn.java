package org.plantainspur.standins.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.plantainspur.adapters.settings.Setting;
import org.plantainspur.standins.http.ListenAddress;
import org.plantainspur.standins.http.StandInServer;
import org.plantainspur.standins.program.Programs;

/**
 * Serves the platform's HTTP interface from memory and simulates faults on demand.
 * {@code PUT /hosts} replaces the host list and {@code PUT /.control/faults} the faults;
 * {@code GET /.control/counters} returns the total number of reads and writes, and their
 * current and peak rates per second.
 */
public final class PlatformStandIn implements AutoCloseable {

	private final List<StandInServer> servers = new ArrayList<>();

	/**
	 * Starts the stand-in.
	 * @param port the port on 127.0.0.1, 0 for any free one
	 * @throws IOException if the port cannot be used
	 */
	public PlatformStandIn(int port) throws IOException {
		this(List.of(new ListenAddress("127.0.0.1", port)));
	}

	/**
	 * Starts the stand-in on several addresses, so that faults can be limited to the
	 * clients of one address.
	 * @param addresses the addresses; a port of 0 stands for any free one
	 * @throws IOException if an address cannot be used
	 */
	public PlatformStandIn(List<ListenAddress> addresses) throws IOException {
		PlatformRoutes routes = new PlatformRoutes();
		for (ListenAddress address : addresses) {
			this.servers.add(new StandInServer(address.host(), address.port(), routes));
		}
	}

	/**
	 * Returns the port of the first address.
	 * @return the TCP port
	 */
	public int port() {
		return port(0);
	}

	/**
	 * Returns the port of an address.
	 * @param index the index of the address in the list given at the start, from 0
	 * @return the TCP port
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
			List<ListenAddress> addresses = Arrays.stream(settings.address.split(","))
				.map(ListenAddress::parse)
				.toList();
			PlatformStandIn platform = new PlatformStandIn(addresses);
			System.out.println("platform stand-in listens on " + settings.address + ", first port " + platform.port());
			Thread.currentThread().join();
		});
	}

	/**
	 * The settings of the program.
	 */
	static final class Settings {

		@Setting(flag = "--address", variable = "STANDIN_PLATFORM_ADDRESS", defaultValue = "127.0.0.1:7000",
				pattern = ListenAddress.LIST_PATTERN, help = "ip:port of the stand-in, or several, comma-separated")
		private String address = "";

	}

}
