package org.plantainspur.standins;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.plantainspur.adapters.platform.PlatformClient;
import org.plantainspur.adapters.platform.TableChangeLog;
import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeEntry;
import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Configuration;
import org.plantainspur.core.configuration.Route;
import org.plantainspur.core.membership.Membership;
import org.plantainspur.core.membership.RendezvousHostAssignment;
import org.plantainspur.core.request.KeyHash;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Four entry hosts in two regions, five targets of one service and the platform stand-in,
 * each in a separate process.
 */
final class TestFleet implements AutoCloseable {

	/** Key of the account harbor-clinic, which is limited to 1000 requests/s. */
	static final String KEY = "key-of-harbor-clinic";

	/** Key of the account that is limited to {@link #LIMITED_RATE} requests/s. */
	static final String LIMITED_KEY = "key-of-corner-shop";

	/** Rate in requests/s and burst in requests of the account of the limited key. */
	static final int LIMITED_RATE = 20;

	private static final int HOST_COUNT = 4;

	/**
	 * With five targets, one of the four that remain after a target has left can be
	 * ejected without going below the capacity floor of 0.7.
	 */
	private static final int TARGET_COUNT = 5;

	private static final long READY_TIMEOUT_MILLIS = 30_000;

	private static final ObjectMapper mapper = new ObjectMapper();

	private final ChildProcesses processes = new ChildProcesses();

	private final String platformAddress = freeAddress();

	private final Map<String, String> targets = new LinkedHashMap<>();

	private final Map<String, Host> hosts = new LinkedHashMap<>();

	private final Map<String, Process> hostProcesses = new HashMap<>();

	private final Map<String, SocksFaultProxy> proxies = new HashMap<>();

	TestFleet() throws Exception {
		try {
			startAll();
		}
		catch (Exception | AssertionError ex) {
			close();
			throw ex;
		}
	}

	private void startAll() throws Exception {
		this.processes.start("org.plantainspur.standins.platform.PlatformStandIn", "--address", this.platformAddress);
		for (int i = 1; i <= TARGET_COUNT; i++) {
			String id = "booking-" + i;
			this.targets.put(id, freeAddress());
			this.processes.start("org.plantainspur.standins.target.TargetEmulator", "--id", id, "--address",
					targetAddress(id), "--slots", "4");
			setBehaviour(id, "");
		}
		new TestHttpClient(this.platformAddress).put("/hosts", hostList().toString());
		appendConfiguration();
		for (int i = 1; i <= HOST_COUNT; i++) {
			String id = "entry-" + i;
			this.hosts.put(id, new Host((i % 2 == 1) ? "pdx" : "sea", freeAddress(), freeAddress(), freeAddress()));
			this.proxies.put(id, new SocksFaultProxy());
			startHost(id);
		}
		awaitReady();
	}

	private static String freeAddress() throws IOException {
		return "127.0.0.1:" + ChildProcesses.freePort();
	}

	private ObjectNode hostList() {
		ObjectNode list = mapper.createObjectNode();
		ArrayNode entries = list.putArray("hosts");
		this.targets.forEach((id, address) -> {
			String region = (id.endsWith("2") || id.endsWith("4")) ? "sea" : "pdx";
			entries.addObject()
				.put("id", id)
				.put("kind", "target")
				.put("service", "booking")
				.put("address", address)
				.put("region", region)
				.put("failureDomain", region + "-a")
				.put("slots", 4)
				.put("connections", 400)
				.put("state", "live");
		});
		return list;
	}

	private void appendConfiguration() throws Exception {
		append(new Change.PutAccount(new ClientAccount("harbor-clinic", 1000, 1000)),
				new Change.IssueKey(KeyHash.of(KEY), "harbor-clinic"),
				new Change.PutAccount(new ClientAccount("corner-shop", LIMITED_RATE, LIMITED_RATE)),
				new Change.IssueKey(KeyHash.of(LIMITED_KEY), "corner-shop"),
				new Change.PutRoute(new Route("read", "GET", "/booking", "booking", true, false, 5000)),
				new Change.PutRoute(new Route("write", "POST", "/booking", "booking", false, false, 5000)));
	}

	/**
	 * Appends changes to the platform's change log without waiting until the hosts apply
	 * them.
	 */
	void append(Change... changes) throws Exception {
		try (PlatformClient client = new PlatformClient("http://" + this.platformAddress, 2000)) {
			TableChangeLog log = new TableChangeLog(client);
			for (Change change : changes) {
				long head = log.head();
				ChangeLog.AppendResult result = log.append(head, "test-" + head, change);
				// Retries because a host can append at the same time.
				while (result instanceof ChangeLog.AppendResult.HeadMoved moved) {
					head = moved.head();
					result = log.append(head, "test-" + head, change);
				}
				if (!(result instanceof ChangeLog.AppendResult.Appended)) {
					throw new IllegalStateException(change + " was not appended: " + result);
				}
			}
		}
	}

	void startHost(String id, String... extraArguments) throws Exception {
		Host host = host(id);
		List<String> args = new ArrayList<>(List.of("--host-id", id, "--region", host.region(), "--failure-domain",
				host.region() + "-a", "--caller-address", host.caller(), "--peer-address", host.peer(),
				"--admin-address", host.admin(), "--platform-url", "http://" + this.platformAddress,
				"--platform-region", "pdx", "--fleet-secret", "the-fleet-secret-of-these-tests"));
		args.addAll(List.of(extraArguments));
		this.hostProcesses.put(id, this.processes.startWithOptions(proxy(id).jvmOptions(),
				"org.plantainspur.host.EntryHostMain", args.toArray(String[]::new)));
	}

	/**
	 * Waits until every host is current, knows all members, serves a read with a key and
	 * issues dispatch tokens.
	 */
	void awaitReady() throws Exception {
		await("every host serves", READY_TIMEOUT_MILLIS, () -> {
			for (String id : this.hosts.keySet()) {
				JsonNode status = status(id);
				if (!status.path("current").asBoolean() || status.path("members").size() != HOST_COUNT
						|| !servesReadWithKey(id) || !issuesDispatchToken(id)) {
					return false;
				}
			}
			return true;
		});
	}

	private boolean issuesDispatchToken(String hostId) throws Exception {
		String answer = new TestHttpClient(host(hostId).caller())
			.send("GET", "/.plantainspur/locate", "", Map.of("X-Api-Key", KEY), 5000)
			.body();
		return !mapper.readTree(answer).path("dispatchToken").asText().isEmpty();
	}

	// A share of an account's rate that a host has just gained takes effect when its
	// previous holders have stopped using it. Until then the host may refuse as rate-
	// limited with Retry-After.
	private boolean servesReadWithKey(String hostId) throws Exception {
		HttpResponse<String> response = get(hostId, KEY);
		if (response.statusCode() == 429) {
			assertThat(mapper.readTree(response.body()).path("run").asText()).isEqualTo("not-run");
			assertThat(response.headers().firstValue("Retry-After")).isPresent();
		}
		return response.statusCode() == 200;
	}

	/**
	 * Removes every fault, restarts hosts whose process has ended and waits until every
	 * host is ready and no target is ejected. Configuration changes remain.
	 */
	void restore() throws Exception {
		platformFaults("{}");
		unblockLinks();
		for (String target : this.targets.keySet()) {
			setBehaviour(target, "");
		}
		for (String host : this.hosts.keySet()) {
			Process process = this.hostProcesses.get(host);
			if (process != null && process.isAlive()) {
				signal(host, "CONT");
			}
			else {
				startHost(host);
			}
		}
		awaitReady();
		// An ejection lasts at least 5 s, twice as long after each repeated ejection.
		await("no target is ejected", READY_TIMEOUT_MILLIS, () -> {
			for (String host : this.hosts.keySet()) {
				if (!ejected(host).isEmpty()) {
					return false;
				}
			}
			return true;
		});
	}

	/** Returns the ids of the targets that a host has ejected. */
	Set<String> ejected(String hostId) throws Exception {
		Set<String> ids = new TreeSet<>();
		for (JsonNode target : status(hostId).path("targets")) {
			if (target.path("ejected").asBoolean()) {
				ids.add(target.path("id").asText());
			}
		}
		return ids;
	}

	/** Returns the id of the host that coordinates the health of the targets. */
	String coordinator() throws Exception {
		return new RendezvousHostAssignment().coordinator("booking", membership()).get(0).hostId();
	}

	/**
	 * Waits until the process of every host is a member and the last membership change is
	 * settled. After that no host writes to the change log unless something changes.
	 */
	void awaitSettled() throws Exception {
		await("every process has joined and the membership is settled", READY_TIMEOUT_MILLIS, () -> {
			Membership membership = membership();
			for (String id : this.hosts.keySet()) {
				if (!joined(id, membership)) {
					return false;
				}
			}
			return membership.previousMembers().isEmpty() && membership.departureSequence() == 0;
		});
	}

	/** Returns whether the change log has the host's running process as a member. */
	boolean joined(String hostId) throws Exception {
		return joined(hostId, membership());
	}

	private boolean joined(String hostId, Membership membership) throws Exception {
		String processId = status(hostId).path("processId").asText();
		return membership.members()
			.stream()
			.anyMatch((member) -> member.hostId().equals(hostId) && member.processId().equals(processId));
	}

	private Membership membership() throws Exception {
		Configuration configuration = Configuration.empty();
		try (PlatformClient client = new PlatformClient("http://" + this.platformAddress, 2000)) {
			for (ChangeEntry entry : new TableChangeLog(client).read(0)) {
				configuration = configuration.apply(entry);
			}
		}
		return configuration.membership();
	}

	/**
	 * Waits until a condition holds and fails if it does not hold in time. A condition
	 * that throws an {@link IOException} counts as not holding.
	 */
	static void await(String description, long timeoutMillis, Callable<Boolean> condition) throws Exception {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		while (true) {
			try {
				if (condition.call()) {
					return;
				}
			}
			catch (IOException ex) {
				// The condition is checked again because a starting host refuses
				// connections.
			}
			if (System.nanoTime() > end) {
				throw new AssertionError("not within " + timeoutMillis + " ms: " + description);
			}
			Thread.sleep(50);
		}
	}

	Host host(String id) {
		Host host = this.hosts.get(id);
		if (host == null) {
			throw new IllegalArgumentException("there is no host " + id + "; there are " + this.hosts.keySet());
		}
		return host;
	}

	/**
	 * Returns the proxy of the connections that a host opens to its peers and the
	 * platform.
	 */
	SocksFaultProxy proxy(String id) {
		SocksFaultProxy proxy = this.proxies.get(id);
		if (proxy == null) {
			throw new IllegalArgumentException("there is no host " + id + "; there are " + this.proxies.keySet());
		}
		return proxy;
	}

	void unblockLinks() {
		this.proxies.values().forEach(SocksFaultProxy::unblockAll);
	}

	/** Returns the address of the platform stand-in as host:port. */
	String platformAddress() {
		return this.platformAddress;
	}

	List<String> hostIds() {
		return List.copyOf(this.hosts.keySet());
	}

	List<String> targetIds() {
		return List.copyOf(this.targets.keySet());
	}

	List<String> callerAddresses() {
		return this.hosts.values().stream().map(Host::caller).toList();
	}

	String targetAddress(String id) {
		return String.valueOf(this.targets.get(id));
	}

	JsonNode status(String hostId) throws Exception {
		return new TestHttpClient(host(hostId).admin()).getJson("/status");
	}

	/** Sends a read with the key of harbor-clinic and returns the status code. */
	int read(String hostId) throws Exception {
		return get(hostId, KEY).statusCode();
	}

	/** Sends a read with the given key. */
	HttpResponse<String> get(String hostId, String key) throws Exception {
		return new TestHttpClient(host(hostId).caller()).send("GET", "/booking/1", "", Map.of("X-Api-Key", key), 5000);
	}

	/**
	 * Returns whether a host refuses a read with a key as not run because its
	 * configuration is not known to be current.
	 */
	boolean refusesAsNotCurrent(String hostId) throws Exception {
		HttpResponse<String> response = get(hostId, KEY);
		JsonNode problem = mapper.readTree(response.body());
		return response.statusCode() == 503 && problem.path("code").asText().equals("configuration-not-current")
				&& problem.path("run").asText().equals("not-run");
	}

	/** Issues a key and waits until every host accepts requests with it. */
	String issueKey() throws Exception {
		OperatorResult result = operator("key", "issue", "harbor-clinic");
		String key = mapper.readTree(result.output()).path("key").asText();
		for (String host : hostIds()) {
			await("the new key works at " + host, 3000, () -> get(host, key).statusCode() == 200);
		}
		return key;
	}

	/** Sends a signal such as {@code STOP} to a host's process. */
	void signal(String hostId, String name) throws Exception {
		Process process = this.hostProcesses.get(hostId);
		if (process == null) {
			throw new IllegalStateException(hostId + " was not started");
		}
		new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).inheritIO().start().waitFor();
	}

	/** Waits until a host's process has ended and returns its exit code. */
	int awaitExit(String hostId, long seconds) throws Exception {
		Process process = this.hostProcesses.get(hostId);
		if (process == null || !process.waitFor(seconds, TimeUnit.SECONDS)) {
			throw new AssertionError(hostId + " did not end within " + seconds + " s");
		}
		return process.exitValue();
	}

	void platformFaults(String json) throws Exception {
		new TestHttpClient(this.platformAddress).put("/.control/faults", json);
	}

	/**
	 * Sets the behaviour of a target: a median service time of 5 ms and the given JSON
	 * fields.
	 */
	void setBehaviour(String targetId, String fields) throws Exception {
		new TestHttpClient(targetAddress(targetId)).put("/.control/behaviour",
				"{\"serviceTime\": {\"kind\": \"log-normal\", \"medianMillis\": 5, \"p99Millis\": 20}, \"queueMillis\": 200"
						+ (fields.isEmpty() ? "" : ", " + fields) + "}");
	}

	/**
	 * Returns the number of started runs by request identity, summed over all targets.
	 */
	Map<String, Integer> runs() throws Exception {
		Map<String, Integer> counts = new HashMap<>();
		for (String address : this.targets.values()) {
			new TestHttpClient(address).getJson("/.emulator/runs")
				.fields()
				.forEachRemaining((entry) -> counts.merge(entry.getKey(), entry.getValue().asInt(), Integer::sum));
		}
		return counts;
	}

	/**
	 * Returns the number of requests that a target has started to run. The large minimum
	 * count leaves the list of runs out of the response.
	 */
	long started(String targetId) throws Exception {
		return new TestHttpClient(targetAddress(targetId)).getJson("/.control/runs?minimumCount=1000000")
			.path("started")
			.asLong();
	}

	/** Returns all changes in the platform's change log, oldest first. */
	List<Change> changes() throws Exception {
		try (PlatformClient client = new PlatformClient("http://" + this.platformAddress, 2000)) {
			return new TableChangeLog(client).read(0).stream().map(ChangeEntry::change).toList();
		}
	}

	/**
	 * Runs the operators' command line in a separate process and waits for its result.
	 */
	OperatorResult operator(String... args) throws Exception {
		List<String> command = new ArrayList<>(
				List.of(System.getProperty("java.home") + "/bin/java", "-Xmx64m", "-XX:TieredStopAtLevel=1", "-cp",
						System.getProperty("java.class.path"), "org.plantainspur.operator.OperatorMain"));
		command.addAll(List.of(args));
		command.addAll(List.of("--platform-url", "http://" + this.platformAddress, "--output", "json"));
		Process process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
		String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		return new OperatorResult(process.waitFor(), output);
	}

	@Override
	public void close() throws IOException {
		this.processes.close();
		for (SocksFaultProxy proxy : this.proxies.values()) {
			proxy.close();
		}
	}

	record Host(String region, String caller, String peer, String admin) {
	}

	record OperatorResult(int exitCode, String output) {
	}

}
