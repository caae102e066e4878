package org.plantainspur.standins.upgrade;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.plantainspur.adapters.settings.Setting;
import org.plantainspur.standins.http.Response;
import org.plantainspur.standins.http.StandInServer;
import org.plantainspur.standins.program.Programs;
import org.plantainspur.standins.tablestore.TableStoreStandIn;

/**
 * Runs two gateway processes of an old build and two of a new one in one fleet. Every
 * host must serve requests, follow a change of the desired state and know the hosts of
 * the other build; then the old hosts are replaced by new ones one after the other.
 */
public final class MixedGateways {

	private static final int READ_REQUESTS = 20;

	private static final long STEP_TIMEOUT_MILLIS = 15_000;

	private static final long INTERVAL_MILLIS = 50;

	private static final Pattern ADDRESS = Pattern.compile("127\\.0\\.0\\.1:[0-9]+");

	private final TableStoreStandIn store = new TableStoreStandIn();

	private final List<GatewayProcess> hosts = new ArrayList<>();

	private final Settings settings;

	private final Path folder;

	private MixedGateways(Settings settings, Path folder) throws IOException {
		this.settings = settings;
		this.folder = folder;
	}

	/**
	 * Runs the check; fails with the first step that does not succeed.
	 * @param args the flags, see {@code --help}
	 * @throws Exception if a step fails
	 */
	public static void main(String[] args) throws Exception {
		Programs.run("mixed-gateways", args, Settings::new, (settings) -> {
			Path folder = Files.createTempDirectory("mixed-gateways");
			MixedGateways check = new MixedGateways(settings, folder);
			try {
				check.run();
			}
			finally {
				check.end();
			}
		});
		System.exit(0);
	}

	private void run() throws Exception {
		desire(1, "key-1");
		for (String id : List.of("target-1", "target-2")) {
			StandInServer target = new StandInServer("127.0.0.1", 0,
					(exchange) -> exchange.answer(Response.text(Response.OK, "done")
						.with("X-Plantainspur-Attempt-Id",
								String.valueOf(exchange.request().header("X-Plantainspur-Attempt-Id")))
						.with("X-Plantainspur-Response-Signature", "signed")));
			this.store.put("servers", id, """
					{"service":"s","address":"127.0.0.1:%d","zone":"a","version":"v1","slots":4,"state":"ready",
					"coldLeftMs":0,"seq":1}""".formatted(target.port()));
		}
		for (int number = 1; number <= 4; number++) {
			String jar = (number <= 2) ? this.settings.oldJar : this.settings.newJar;
			this.hosts.add(new GatewayProcess("gateway-" + number, this.settings.port + 5 * number, this.store.port(),
					this.folder)
				.start(jar));
		}
		step("two hosts of each build serve", () -> serve("key-1"));
		step("hosts of both builds name the same hosts", this::sameHosts);
		desire(2, "key-2");
		step("a change of the desired state is in force", () -> refuse("key-1") && serve("key-2"));
		for (GatewayProcess host : this.hosts.subList(0, 2)) {
			host.stop();
			host.start(this.settings.newJar);
			step("a new process replaces " + host.name(), () -> serve("key-2"));
			step("the hosts name the same hosts after it", this::sameHosts);
		}
	}

	private static void step(String name, Supplier<Boolean> check) throws InterruptedException {
		long started = System.nanoTime();
		while (!check.get()) {
			if (System.nanoTime() - started > STEP_TIMEOUT_MILLIS * 1_000_000) {
				throw new IllegalStateException("not within " + STEP_TIMEOUT_MILLIS + " ms: " + name);
			}
			Thread.sleep(INTERVAL_MILLIS);
		}
		System.out.printf("%s (%d ms)%n", name, (System.nanoTime() - started) / 1_000_000);
	}

	private boolean serve(String key) {
		return this.hosts.stream().allMatch((host) -> {
			for (int i = 0; i < READ_REQUESTS; i++) {
				if (!host.request("GET", "/read/" + i, key).startsWith("HTTP/1.1 200")) {
					return false;
				}
			}
			return host.request("POST", "/book/1", key).startsWith("HTTP/1.1 200");
		});
	}

	private boolean refuse(String key) {
		return this.hosts.stream().allMatch((host) -> host.request("GET", "/read/1", key).startsWith("HTTP/1.1 401"));
	}

	// The answers name at least two hosts: one that knows no other would name itself
	// only.
	private boolean sameHosts() {
		Set<Set<String>> answers = new HashSet<>();
		for (GatewayProcess host : this.hosts) {
			Set<String> addresses = new TreeSet<>();
			Matcher matcher = ADDRESS.matcher(host.locate());
			while (matcher.find()) {
				addresses.add(matcher.group());
			}
			answers.add(addresses);
		}
		return answers.size() == 1 && answers.iterator().next().size() >= 2;
	}

	private void desire(int version, String key) {
		this.store.put("op", "config", """
				{"version":"%08x","routes":{"columns":["name","host","prefix","routeType","timeoutMs","targetLatencyMs",
				"priority","maxAttempts","public","service"],"rows":[
				["read","jobs.example","/read/","safe",2000,500,0,2,false,"s"],
				["book","jobs.example","/book/","non_idempotent",2000,500,0,2,false,"s"]]},
				"services":{"columns":["name","healthPath","maxConnections"],"rows":[["s","/health",100]]},
				"limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
				"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],
				"rows":[["mill",["%s"],0,1000,1000]]}}""".formatted(version, key));
	}

	private void end() throws Exception {
		for (GatewayProcess host : this.hosts) {
			host.stop();
		}
		this.store.close();
	}

	/**
	 * The settings.
	 */
	static final class Settings {

		@Setting(flag = "--old-jar", variable = "MIXED_OLD_JAR", example = "../old/target/plantainspur.jar",
				help = "program of the old build")
		private String oldJar = "";

		@Setting(flag = "--new-jar", variable = "MIXED_NEW_JAR", example = "target/plantainspur.jar",
				help = "program of the new build")
		private String newJar = "";

		@Setting(flag = "--port", variable = "MIXED_PORT", defaultValue = "7700", minimum = 1024, maximum = 65_000,
				help = "first of the 30 ports that the hosts use")
		private int port;

	}

}
