package org.plantainspur.standins;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The platform stand-in, a target and some hosts, each in a process of its own.
 */
final class OperatedFleet implements AutoCloseable {

	final String platform;

	final List<String> callers = new CopyOnWriteArrayList<>();

	final List<String> admins = new CopyOnWriteArrayList<>();

	private final Processes processes = new Processes();

	// One for each host, since hosts may be started by several threads.
	private final List<Processes> hosts = new CopyOnWriteArrayList<>();

	OperatedFleet() throws Exception {
		this.platform = "127.0.0.1:" + Processes.freePort();
		String target = "127.0.0.1:" + Processes.freePort();
		this.processes.start("org.plantainspur.standins.platform.PlatformStandIn", "--address", this.platform);
		this.processes.start("org.plantainspur.standins.target.TargetEmulator", "--id", "booking-1", "--address",
				target, "--slots", "4");
		platform().control("/hosts", """
				{"hosts": [{"id": "booking-1", "kind": "target", "service": "booking", "address": "%s",
				"region": "pdx", "failureDomain": "pdx-a", "slots": 4, "connections": 400, "state": "live"}]}
				""".formatted(target));
	}

	Process startHost(String hostId, String region, long pollMillis) throws Exception {
		String caller = "127.0.0.1:" + Processes.freePort();
		String admin = "127.0.0.1:" + Processes.freePort();
		this.callers.add(caller);
		this.admins.add(admin);
		Processes own = new Processes();
		this.hosts.add(own);
		return own.start("org.plantainspur.host.EntryHostMain", "--host-id", hostId, "--region", region,
				"--failure-domain", region + "-a", "--caller-address", caller, "--admin-address", admin,
				"--peer-address", "127.0.0.1:" + Processes.freePort(), "--platform-url", "http://" + this.platform,
				"--platform-region", "pdx", "--fleet-secret", "the-fleet-secret-of-these-tests", "--poll-interval",
				String.valueOf(pollMillis));
	}

	/**
	 * Waits until each host knows as many members as there are hosts.
	 * @param members the number of members
	 * @throws Exception if they have not joined within a minute
	 */
	void waitForMembers(int members) throws Exception {
		for (int i = 0; i < 600; i++) {
			boolean all = true;
			for (String admin : this.admins) {
				JsonNode status = new Calls(admin).json("/status");
				all &= status.path("members").size() == members && status.path("current").asBoolean();
			}
			if (all) {
				return;
			}
			Thread.sleep(100);
		}
		throw new IllegalStateException(members + " hosts did not join within a minute");
	}

	Calls platform() {
		return new Calls(this.platform);
	}

	int statusAt(String caller, String path, String key) throws Exception {
		return new Calls(caller).send("GET", path, "", Map.of("X-Api-Key", key), 10_000).statusCode();
	}

	@Override
	public void close() {
		this.hosts.forEach(Processes::close);
		this.processes.close();
	}

}
