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
 * Verifies that gateways of two builds work together in one fleet. Runs two processes of
 * an old build and two of a new one; every host must serve requests, apply a change of
 * the desired state and know the hosts of the other build. Then replaces the old
 * processes by new ones, one after the other.
 */
public final class MixedGateways {

	private static final int READS_PER_HOST = 20;

	private static final long STEP_TIMEOUT_MILLIS = 15_000;

	private static final long POLL_INTERVAL_MILLIS = 50;

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
	 * Runs the steps, and stops with an error at the first one that does not succeed in
	 * time.
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
				check.stopAll();
			}
		});
		System.exit(0);
	}

	private void run() throws Exception {
		writeDesiredState(1, "key-1");
		for (String id : List.of("target-1", "target-2")) {
			StandInServer target = new StandInServer("127.0.0.1", 0,
					(exchange) -> exchange.respond(Response.text(Response.OK, "done")
						.withHeader("X-Plantainspur-Attempt-Id",
								String.valueOf(exchange.request().header("X-Plantainspur-Attempt-Id")))
						.withHeader("X-Plantainspur-Response-Signature", "signed")));
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
		awaitStep("two hosts of each build serve", () -> allServe("key-1"));
		awaitStep("hosts of both builds resolve jobs.example to the same hosts", this::allResolveToSameHosts);
		writeDesiredState(2, "key-2");
		awaitStep("a change of the desired state is in force", () -> allRefuse("key-1") && allServe("key-2"));
		for (GatewayProcess host : this.hosts.subList(0, 2)) {
			host.stop();
			host.start(this.settings.newJar);
			awaitStep("a new process replaces " + host.name(), () -> allServe("key-2"));
			awaitStep("all hosts resolve jobs.example to the same hosts after the replacement",
					this::allResolveToSameHosts);
		}
	}

	private static void awaitStep(String name, Supplier<Boolean> check) throws InterruptedException {
		long startNanos = System.nanoTime();
		while (!check.get()) {
			if (System.nanoTime() - startNanos > STEP_TIMEOUT_MILLIS * 1_000_000) {
				throw new IllegalStateException(
						"the step did not succeed within " + STEP_TIMEOUT_MILLIS + " ms: " + name);
			}
			Thread.sleep(POLL_INTERVAL_MILLIS);
		}
		System.out.printf("%s (%d ms)%n", name, (System.nanoTime() - startNanos) / 1_000_000);
	}

	private boolean allServe(String key) {
		return this.hosts.stream().allMatch((host) -> {
			for (int i = 0; i < READS_PER_HOST; i++) {
				if (!host.request("GET", "/read/" + i, key).startsWith("HTTP/1.1 200")) {
					return false;
				}
			}
			return host.request("POST", "/book/1", key).startsWith("HTTP/1.1 200");
		});
	}

	private boolean allRefuse(String key) {
		return this.hosts.stream().allMatch((host) -> host.request("GET", "/read/1", key).startsWith("HTTP/1.1 401"));
	}

	// Requires at least two addresses, because a host that knows no other host resolves
	// the name to its own address only.
	private boolean allResolveToSameHosts() {
		Set<Set<String>> answers = new HashSet<>();
		for (GatewayProcess host : this.hosts) {
			Set<String> addresses = new TreeSet<>();
			Matcher matcher = ADDRESS.matcher(host.resolve());
			while (matcher.find()) {
				addresses.add(matcher.group());
			}
			answers.add(addresses);
		}
		return answers.size() == 1 && answers.iterator().next().size() >= 2;
	}

	private void writeDesiredState(int version, String key) {
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

	private void stopAll() throws Exception {
		for (GatewayProcess host : this.hosts) {
			host.stop();
		}
		this.store.close();
	}

	/**
	 * The settings of the program.
	 */
	static final class Settings {

		@Setting(flag = "--old-jar", variable = "MIXED_OLD_JAR", example = "../old/target/plantainspur.jar",
				help = "jar file of the old build")
		private String oldJar = "";

		@Setting(flag = "--new-jar", variable = "MIXED_NEW_JAR", example = "target/plantainspur.jar",
				help = "jar file of the new build")
		private String newJar = "";

		@Setting(flag = "--port", variable = "MIXED_PORT", defaultValue = "7700", minimum = 1024, maximum = 65_000,
				help = "start of the port range; the hosts use the 20 ports from 5 to 24 above it")
		private int port;

	}

}
