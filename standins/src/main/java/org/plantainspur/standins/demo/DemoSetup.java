package org.plantainspur.standins.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.plantainspur.adapters.platform.PlatformClient;
import org.plantainspur.adapters.platform.TableChangeLog;
import org.plantainspur.adapters.settings.Setting;
import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Route;
import org.plantainspur.core.request.KeyHash;
import org.plantainspur.standins.program.Programs;

/**
 * Sets up the demonstration: the host list of the platform stand-in, the behaviour of the
 * targets, and the accounts, keys and routes of the configuration.
 */
public final class DemoSetup {

	private static final String TARGET_BEHAVIOUR = "{\"serviceTime\": {\"kind\": \"log-normal\", \"medianMillis\": 4,"
			+ " \"p99Millis\": 30}, \"queueMillis\": 200}";

	private static final long PLATFORM_TIMEOUT_MILLIS = 5000;

	private static final long ROUTE_TIMEOUT_MILLIS = 5000;

	private static final int SLOTS_PER_TARGET = 4;

	private static final int CONNECTIONS_PER_TARGET = 400;

	private static final int MAXIMUM_APPEND_ATTEMPTS = 20;

	private DemoSetup() {
	}

	/**
	 * Sets up the demonstration.
	 * @param args the flags, see {@code --help}
	 * @throws Exception if the platform stand-in or a target does not respond
	 */
	public static void main(String[] args) throws Exception {
		Programs.run("demo-setup", args, Settings::new, (settings) -> {
			List<DemoTarget> targets = DemoTarget.parseList(settings.targets);
			try (DemoHttpClient http = new DemoHttpClient()) {
				http.expectOk("PUT", settings.platform, "/hosts", hostList(targets).toString());
				for (DemoTarget target : targets) {
					http.expectOk("PUT", target.address(), "/.control/behaviour", TARGET_BEHAVIOUR);
				}
			}
			try (PlatformClient client = new PlatformClient("http://" + settings.platform, PLATFORM_TIMEOUT_MILLIS)) {
				ChangeLog log = new TableChangeLog(client);
				for (Change change : changes()) {
					append(log, change);
				}
			}
			System.out
				.println("set up " + targets.size() + " targets and " + DemoAccount.values().length + " accounts");
		});
	}

	private static ObjectNode hostList(List<DemoTarget> targets) {
		ObjectNode list = JsonNodeFactory.instance.objectNode();
		ArrayNode hosts = list.putArray("hosts");
		for (DemoTarget target : targets) {
			hosts.addObject()
				.put("id", target.id())
				.put("kind", "target")
				.put("service", target.service())
				.put("address", target.address())
				.put("region", target.region())
				.put("failureDomain", target.region() + "-a")
				.put("slots", SLOTS_PER_TARGET)
				.put("connections", CONNECTIONS_PER_TARGET)
				.put("state", "live");
		}
		return list;
	}

	private static List<Change> changes() {
		List<Change> changes = new ArrayList<>();
		for (DemoAccount account : DemoAccount.values()) {
			changes.add(new Change.PutAccount(
					new ClientAccount(account.id(), account.ratePerSecond(), account.ratePerSecond())));
			changes.add(new Change.IssueKey(KeyHash.of(account.key()), account.id()));
		}
		for (String service : List.of("calendar", "booking", "offers")) {
			changes.add(new Change.PutRoute(
					new Route(service + "-read", "GET", "/" + service, service, true, false, ROUTE_TIMEOUT_MILLIS)));
		}
		for (String service : List.of("booking", "offers")) {
			changes.add(new Change.PutRoute(
					new Route(service + "-write", "POST", "/" + service, service, false, false, ROUTE_TIMEOUT_MILLIS)));
		}
		return changes;
	}

	// Retries an append that fails, for example because another writer has moved the head
	// of the log since it was read.
	private static void append(ChangeLog log, Change change) {
		String changeId = "demo-" + UUID.randomUUID();
		for (int attempt = 0; attempt < MAXIMUM_APPEND_ATTEMPTS; attempt++) {
			if (log.append(log.head(), changeId, change) instanceof ChangeLog.AppendResult.Appended) {
				return;
			}
		}
		throw new IllegalStateException("the change " + change + " was not accepted in " + MAXIMUM_APPEND_ATTEMPTS
				+ " attempts; is anything else writing to the platform stand-in?");
	}

	/**
	 * The settings of the program.
	 */
	static final class Settings {

		@Setting(flag = "--platform", variable = "DEMO_PLATFORM", example = "127.0.0.1:7400",
				help = "ip:port of the platform stand-in")
		private String platform = "";

		@Setting(flag = "--targets", variable = "DEMO_TARGETS", pattern = DemoTarget.LIST_PATTERN,
				example = "booking-1=pdx=127.0.0.1:7410", help = "targets as id=region=ip:port, comma-separated")
		private String targets = "";

	}

}
