package org.plantainspur.standins;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The platform stand-in, one target and as many entry hosts as a test starts, each in a
 * separate process.
 */
final class VariableSizeFleet implements AutoCloseable {

	final String platformAddress;

	final List<String> callerAddresses = new CopyOnWriteArrayList<>();

	final List<String> adminAddresses = new CopyOnWriteArrayList<>();

	private final ChildProcesses processes = new ChildProcesses();

	// One for each host. The list is thread-safe, because several threads may start
	// hosts.
	private final List<ChildProcesses> hostProcesses = new CopyOnWriteArrayList<>();

	VariableSizeFleet() throws Exception {
		this.platformAddress = "127.0.0.1:" + ChildProcesses.freePort();
		String targetAddress = "127.0.0.1:" + ChildProcesses.freePort();
		this.processes.start("org.plantainspur.standins.platform.PlatformStandIn", "--address", this.platformAddress);
		this.processes.start("org.plantainspur.standins.target.TargetEmulator", "--id", "booking-1", "--address",
				targetAddress, "--slots", "4");
		platform().put("/hosts", """
				{"hosts": [{"id": "booking-1", "kind": "target", "service": "booking", "address": "%s",
				"region": "pdx", "failureDomain": "pdx-a", "slots": 4, "connections": 400, "state": "live"}]}
				""".formatted(targetAddress));
	}

	Process startHost(String hostId, String region, long pollMillis) throws Exception {
		String callerAddress = "127.0.0.1:" + ChildProcesses.freePort();
		String adminAddress = "127.0.0.1:" + ChildProcesses.freePort();
		this.callerAddresses.add(callerAddress);
		this.adminAddresses.add(adminAddress);
		ChildProcesses hostProcess = new ChildProcesses();
		this.hostProcesses.add(hostProcess);
		return hostProcess.start("org.plantainspur.host.EntryHostMain", "--host-id", hostId, "--region", region,
				"--failure-domain", region + "-a", "--caller-address", callerAddress, "--admin-address", adminAddress,
				"--peer-address", "127.0.0.1:" + ChildProcesses.freePort(), "--platform-url",
				"http://" + this.platformAddress, "--platform-region", "pdx", "--fleet-secret",
				"the-fleet-secret-of-these-tests", "--poll-interval", String.valueOf(pollMillis));
	}

	/**
	 * Waits until each host is current and knows the given number of members.
	 * @param members the expected number of members
	 * @throws Exception if the hosts have not joined within a minute
	 */
	void awaitMembers(int members) throws Exception {
		for (int i = 0; i < 600; i++) {
			boolean allJoined = true;
			for (String adminAddress : this.adminAddresses) {
				JsonNode status = new TestHttpClient(adminAddress).getJson("/status");
				allJoined &= status.path("members").size() == members && status.path("current").asBoolean();
			}
			if (allJoined) {
				return;
			}
			Thread.sleep(100);
		}
		throw new IllegalStateException(members + " hosts did not join within a minute");
	}

	TestHttpClient platform() {
		return new TestHttpClient(this.platformAddress);
	}

	int statusCode(String callerAddress, String path, String key) throws Exception {
		return new TestHttpClient(callerAddress).send("GET", path, "", Map.of("X-Api-Key", key), 10_000).statusCode();
	}

	@Override
	public void close() {
		this.hostProcesses.forEach(ChildProcesses::close);
		this.processes.close();
	}

}
