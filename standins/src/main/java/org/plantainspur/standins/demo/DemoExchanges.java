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
 * Prints a few exchanges with an entry host, and which actions the targets began more
 * than once.
 */
public final class DemoExchanges {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final HttpCalls calls;

	private final String entry;

	private DemoExchanges(HttpCalls calls, String entry) {
		this.calls = calls;
		this.entry = entry;
	}

	/**
	 * Prints the exchanges.
	 * @param args the flags, see {@code --help}
	 * @throws Exception if a process gives no answer
	 */
	public static void main(String[] args) throws Exception {
		Programs.run("demo-exchanges", args, Settings::new, (settings) -> {
			try (HttpCalls calls = new HttpCalls()) {
				DemoExchanges exchanges = new DemoExchanges(calls, settings.entry);
				exchanges.show();
				exchanges.showRepeats(DemoTarget.list(settings.targets));
			}
		});
	}

	private void show() throws IOException {
		String key = DemoAccount.HARBOR_CLINIC.key();
		String located = call("GET", "/.plantainspur/locate", Map.of("X-Api-Key", key));
		String token = MAPPER.readTree(located).path("dispatchToken").asText();
		call("GET", "/calendar/2026-12-04", Map.of("X-Api-Key", key));
		Map<String, String> booking = Map.of("X-Api-Key", key, "Idempotency-Key",
				token + ".booking-" + UUID.randomUUID().toString().substring(0, 8));
		call("POST", "/booking", booking);
		System.out.println("# The same booking again, as after a lost answer: it does not run a second time.\n");
		call("POST", "/booking", booking);
		System.out.println("# Refusals say whether the request may have run.\n");
		call("POST", "/booking", Map.of("X-Api-Key", key));
		call("GET", "/calendar/2026-12-04", Map.of("X-Api-Key", "no-such-key"));
	}

	private String call(String method, String path, Map<String, String> headers) throws IOException {
		StringBuilder line = new StringBuilder("$ curl -X " + method);
		new TreeMap<>(headers).forEach((name, value) -> line.append(" -H '" + name + ": " + value + "'"));
		HttpCalls.Answer answer = this.calls.send(method, this.entry, path, headers, method.equals("POST") ? "{}" : "");
		System.out.println(line + " http://" + this.entry + path);
		System.out.println(answer.status() + " " + answer.body().strip() + "\n");
		return answer.body();
	}

	private void showRepeats(List<DemoTarget> targets) throws IOException {
		Map<String, Integer> counts = new TreeMap<>();
		for (DemoTarget target : targets) {
			HttpCalls.Answer answer = this.calls.send("GET", target.address(), "/.control/runs", Map.of(), "");
			for (JsonNode run : MAPPER.readTree(answer.body()).path("runs")) {
				if (run.path("action").asText().startsWith("POST ")) {
					counts.merge(run.path("identity").asText(), run.path("count").asInt(), Integer::sum);
				}
			}
		}
		long repeated = counts.values().stream().filter((count) -> count > 1).count();
		System.out
			.println("Non-idempotent actions begun by the targets: " + counts.size() + ", more than once: " + repeated);
	}

	/**
	 * The settings.
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
