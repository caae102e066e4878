package org.plantainspur.standins.demo;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.plantainspur.adapters.settings.Setting;
import org.plantainspur.standins.program.Programs;

/**
 * Sends a few requests to an entry host, prints them with their responses, and prints how
 * many non-idempotent actions the targets started more than once.
 */
public final class DemoExchanges {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final DemoHttpClient client;

	private final String entryAddress;

	private DemoExchanges(DemoHttpClient client, String entryAddress) {
		this.client = client;
		this.entryAddress = entryAddress;
	}

	/**
	 * Runs the program.
	 * @param args the flags, see {@code --help}
	 * @throws Exception if an entry host or a target does not respond
	 */
	public static void main(String[] args) throws Exception {
		Programs.run("demo-exchanges", args, Settings::new, (settings) -> {
			try (DemoHttpClient client = new DemoHttpClient()) {
				DemoExchanges exchanges = new DemoExchanges(client, settings.entry);
				exchanges.printExchanges();
				exchanges.printRepeatedActions(DemoTarget.parseList(settings.targets));
			}
		});
	}

	private void printExchanges() throws IOException {
		String key = DemoAccount.HARBOR_CLINIC.key();
		String located = sendAndPrint("GET", "/.plantainspur/locate", Map.of("X-Api-Key", key));
		String token = MAPPER.readTree(located).path("dispatchToken").asText();
		sendAndPrint("GET", "/calendar/2026-12-04", Map.of("X-Api-Key", key));
		Map<String, String> booking = Map.of("X-Api-Key", key, "Idempotency-Key",
				token + ".booking-" + UUID.randomUUID().toString().substring(0, 8));
		sendAndPrint("POST", "/booking", booking);
		System.out.println("# The same booking again, as after a lost answer: it does not run a second time.\n");
		sendAndPrint("POST", "/booking", booking);
		System.out.println("# Refusals say whether the request may have run.\n");
		sendAndPrint("POST", "/booking", Map.of("X-Api-Key", key));
		sendAndPrint("GET", "/calendar/2026-12-04", Map.of("X-Api-Key", "no-such-key"));
	}

	private String sendAndPrint(String method, String path, Map<String, String> headers) throws IOException {
		StringBuilder line = new StringBuilder("$ curl -X " + method);
		new TreeMap<>(headers).forEach((name, value) -> line.append(" -H '" + name + ": " + value + "'"));
		DemoHttpClient.Response response = this.client.send(method, this.entryAddress, path, headers,
				method.equals("POST") ? "{}" : "");
		System.out.println(line + " http://" + this.entryAddress + path);
		System.out.println(response.status() + " " + response.body().strip() + "\n");
		return response.body();
	}

	private void printRepeatedActions(List<DemoTarget> targets) throws IOException {
		Map<String, Integer> counts = new TreeMap<>();
		for (DemoTarget target : targets) {
			DemoHttpClient.Response response = this.client.send("GET", target.address(), "/.control/runs", Map.of(),
					"");
			for (JsonNode run : MAPPER.readTree(response.body()).path("runs")) {
				if (run.path("action").asText().startsWith("POST ")) {
					counts.merge(run.path("identity").asText(), run.path("count").asInt(), Integer::sum);
				}
			}
		}
		long repeated = counts.values().stream().filter((count) -> count > 1).count();
		System.out.println(
				"Non-idempotent actions started by the targets: " + counts.size() + ", more than once: " + repeated);
	}

	/**
	 * The settings of the program.
	 */
	static final class Settings {

		@Setting(flag = "--entry", variable = "DEMO_ENTRY", example = "127.0.0.1:7420",
				help = "ip:port of an entry host")
		private String entry = "";

		@Setting(flag = "--targets", variable = "DEMO_TARGETS", pattern = DemoTarget.LIST_PATTERN,
				example = "booking-1=pdx=127.0.0.1:7410", help = "targets as id=region=ip:port, comma-separated")
		private String targets = "";

	}

}
