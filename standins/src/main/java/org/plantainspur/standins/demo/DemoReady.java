package org.plantainspur.standins.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.plantainspur.adapters.settings.Setting;
import org.plantainspur.standins.program.Programs;

/**
 * Waits until every entry host lists all hosts as members, reports its configuration as
 * current and issues dispatch tokens; a host whose configuration is not current refuses
 * requests that need a key. Hosts join one after another, and a host receives its shares
 * of the rate limits only once no earlier holder can use them any more.
 */
public final class DemoReady {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final long POLL_INTERVAL_MILLIS = 200;

	private static final long NANOS_PER_SECOND = 1_000_000_000;

	private DemoReady() {
	}

	/**
	 * Waits for the hosts, at most for the time of {@code --seconds}.
	 * @param args the flags, see {@code --help}
	 * @throws Exception if a host is not ready in time
	 */
	public static void main(String[] args) throws Exception {
		Programs.run("demo-ready", args, Settings::new, (settings) -> {
			List<String> notReady = new ArrayList<>(List.of(settings.admins.split(",")));
			int hostCount = notReady.size();
			long startNanos = System.nanoTime();
			try (DemoHttpClient client = new DemoHttpClient()) {
				while (!notReady.removeIf((adminAddress) -> isReady(client, adminAddress, hostCount))
						|| !notReady.isEmpty()) {
					if (System.nanoTime() - startNanos > settings.seconds * NANOS_PER_SECOND) {
						throw new IllegalStateException(
								"not ready after " + settings.seconds + " s: the hosts with the admin addresses "
										+ notReady + "; see their /status for the reason");
					}
					Thread.sleep(POLL_INTERVAL_MILLIS);
				}
			}
			System.out.printf("%d hosts are ready after %.1f s%n", hostCount,
					(double) (System.nanoTime() - startNanos) / NANOS_PER_SECOND);
		});
	}

	private static boolean isReady(DemoHttpClient client, String adminAddress, int hostCount) {
		try {
			JsonNode status = MAPPER.readTree(client.send("GET", adminAddress, "/status", Map.of(), "").body());
			return status.path("current").asBoolean() && status.path("issuesTokens").asBoolean()
					&& status.path("members").size() == hostCount;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/**
	 * The settings of the program.
	 */
	static final class Settings {

		@Setting(flag = "--admins", variable = "DEMO_ADMINS", example = "127.0.0.1:7412",
				help = "ip:port of the hosts' admin addresses, comma-separated")
		private String admins = "";

		@Setting(flag = "--seconds", variable = "DEMO_SECONDS", defaultValue = "60", minimum = 1, maximum = 600,
				help = "longest wait, in seconds")
		private long seconds;

	}

}
