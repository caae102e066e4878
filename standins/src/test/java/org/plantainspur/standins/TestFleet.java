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
 * each a process of its own.
 */
final class TestFleet implements AutoCloseable {

	static final String KEY = "key-of-harbor-clinic";

	/** The account of the rate test: {@value #LIMITED_RATE} requests/s. */
	static final String LIMITED_KEY = "key-of-corner-shop";

	static final int LIMITED_RATE = 20;

	private static final int HOSTS = 4;

	/**
	 * With five targets, four remain for some time after one has left, enough to eject
	 * one of them above the floor of 0.7.
	 */
	private static final int TARGETS = 5;

	private static final long READY_MILLIS = 30_000;

	private static final ObjectMapper mapper = new ObjectMapper();

	private final Processes processes = new Processes();

	private final String platform = address();

	private final Map<String, String> targets = new LinkedHashMap<>();

	private final Map<String, Host> hosts = new LinkedHashMap<>();

	private final Map<String, Process> running = new HashMap<>();

	private final Map<String, CuttableLinks> links = new HashMap<>();

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
		this.processes.start("org.plantainspur.standins.platform.PlatformStandIn", "--address", this.platform);
		for (int i = 1; i <= TARGETS; i++) {
			String id = "booking-" + i;
			this.targets.put(id, address());
			this.processes.start("org.plantainspur.standins.target.TargetEmulator", "--id", id, "--address", target(id),
					"--slots", "4");
			behave(id, "");
		}
		new Calls(this.platform).control("/hosts", hostList().toString());
		configure();
		for (int i = 1; i <= HOSTS; i++) {
			String id = "entry-" + i;
			this.hosts.put(id, new Host((i % 2 == 1) ? "pdx" : "sea", address(), address(), address()));
			this.links.put(id, new CuttableLinks());
			startHost(id);
		}
		awaitReady();
	}

	private static String address() throws IOException {
		return "127.0.0.1:" + Processes.freePort();
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

	private void configure() throws Exception {
		append(new Change.PutAccount(new ClientAccount("harbor-clinic", 1000, 1000)),
				new Change.IssueKey(KeyHash.of(KEY), "harbor-clinic"),
				new Change.PutAccount(new ClientAccount("corner-shop", LIMITED_RATE, LIMITED_RATE)),
				new Change.IssueKey(KeyHash.of(LIMITED_KEY), "corner-shop"),
				new Change.PutRoute(new Route("read", "GET", "/booking", "booking", true, false, 5000)),
				new Change.PutRoute(new Route("write", "POST", "/booking", "booking", false, false, 5000)));
	}

	/** Appends changes without waiting for the hosts. */
	void append(Change... changes) throws Exception {
		try (PlatformClient client = new PlatformClient("http://" + this.platform, 2000)) {
			TableChangeLog log = new TableChangeLog(client);
			for (Change change : changes) {
				long head = log.head();
				ChangeLog.AppendResult result = log.append(head, "test-" + head, change);
				// A host may write at the same time.
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

	void startHost(String id, String... extra) throws Exception {
		Host host = host(id);
		List<String> args = new ArrayList<>(List.of("--host-id", id, "--region", host.region(), "--failure-domain",
				host.region() + "-a", "--caller-address", host.caller(), "--peer-address", host.peer(),
				"--admin-address", host.admin(), "--platform-url", "http://" + this.platform, "--platform-region",
				"pdx", "--fleet-secret", "the-fleet-secret-of-these-tests"));
		args.addAll(List.of(extra));
		this.running.put(id, this.processes.startWith(links(id).jvmOptions(), "org.plantainspur.host.EntryHostMain",
				args.toArray(String[]::new)));
	}

	/** Waits until every host is current, has all members and serves a keyed request. */
	void awaitReady() throws Exception {
		await("every host serves", READY_MILLIS, () -> {
			for (String id : this.hosts.keySet()) {
				JsonNode status = status(id);
				if (!status.path("current").asBoolean() || status.path("members").size() != HOSTS || !serves(id)) {
					return false;
				}
			}
			return true;
		});
	}

	// A share that a host has just gained starts only when its earlier holders have
	// stopped using it. Until then the host may refuse as rate-limited with Retry-After.
	private boolean serves(String hostId) throws Exception {
		HttpResponse<String> answer = get(hostId, KEY);
		if (answer.statusCode() == 429) {
			assertThat(mapper.readTree(answer.body()).path("run").asText()).isEqualTo("not-run");
			assertThat(answer.headers().firstValue("Retry-After")).isPresent();
		}
		return answer.statusCode() == 200;
	}

	/**
	 * Removes every fault, starts the hosts that have ended and waits until the fleet is
	 * as after its start. Changes of the configuration stay.
	 */
	void restore() throws Exception {
		platformFaults("{}");
		healLinks();
		for (String target : this.targets.keySet()) {
			behave(target, "");
		}
		for (String host : this.hosts.keySet()) {
			Process process = this.running.get(host);
			if (process != null && process.isAlive()) {
				signal(host, "CONT");
			}
			else {
				startHost(host);
			}
		}
		awaitReady();
		// The hold time of an ejection is 5 s and doubles at a relapse.
		await("no target is ejected", READY_MILLIS, () -> {
			for (String host : this.hosts.keySet()) {
				if (!ejected(host).isEmpty()) {
					return false;
				}
			}
			return true;
		});
	}

	/** Returns the targets that a host holds ejected. */
	Set<String> ejected(String hostId) throws Exception {
		Set<String> ids = new TreeSet<>();
		for (JsonNode target : status(hostId).path("targets")) {
			if (target.path("ejected").asBoolean()) {
				ids.add(target.path("id").asText());
			}
		}
		return ids;
	}

	/** Returns the host that coordinates the health of the targets. */
	String coordinator() throws Exception {
		return new RendezvousHostAssignment().coordinator("booking", membership()).get(0).hostId();
	}

	/**
	 * Waits until the last change of seats is settled, after which no host writes unless
	 * something changes.
	 */
	void awaitSettled() throws Exception {
		await("the seats are settled", READY_MILLIS, () -> {
			Membership present = membership();
			return present.previousMembers().isEmpty() && present.departureSequence() == 0;
		});
	}

	private Membership membership() throws Exception {
		Configuration configuration = Configuration.empty();
		try (PlatformClient client = new PlatformClient("http://" + this.platform, 2000)) {
			for (ChangeEntry entry : new TableChangeLog(client).read(0)) {
				configuration = configuration.apply(entry);
			}
		}
		return configuration.membership();
	}

	static void await(String what, long millis, Callable<Boolean> condition) throws Exception {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (true) {
			try {
				if (condition.call()) {
					return;
				}
			}
			catch (IOException ex) {
				// A host that does not answer yet is asked again.
			}
			if (System.nanoTime() > end) {
				throw new AssertionError("not within " + millis + " ms: " + what);
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

	/** Returns the connections that a host opens to its peers and to the platform. */
	CuttableLinks links(String id) {
		CuttableLinks links = this.links.get(id);
		if (links == null) {
			throw new IllegalArgumentException("there is no host " + id + "; there are " + this.links.keySet());
		}
		return links;
	}

	void healLinks() {
		this.links.values().forEach(CuttableLinks::heal);
	}

	/** Returns the address that hosts reach the platform at. */
	String platform() {
		return this.platform;
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

	String target(String id) {
		return String.valueOf(this.targets.get(id));
	}

	JsonNode status(String hostId) throws Exception {
		return new Calls(host(hostId).admin()).json("/status");
	}

	/** Sends a keyed read and returns the status. */
	int read(String hostId) throws Exception {
		return get(hostId, KEY).statusCode();
	}

	/** Sends a read with a key. */
	HttpResponse<String> get(String hostId, String key) throws Exception {
		return new Calls(host(hostId).caller()).send("GET", "/booking/1", "", Map.of("X-Api-Key", key), 5000);
	}

	/** Returns whether a host refuses a keyed read as not run since it is not current. */
	boolean refusesAsNotCurrent(String hostId) throws Exception {
		HttpResponse<String> answer = get(hostId, KEY);
		JsonNode problem = mapper.readTree(answer.body());
		return answer.statusCode() == 503 && problem.path("code").asText().equals("configuration-not-current")
				&& problem.path("run").asText().equals("not-run");
	}

	/** Issues a key and waits until every host accepts it. */
	String issueKey() throws Exception {
		OperatorResult issued = operator("key", "issue", "harbor-clinic");
		String key = mapper.readTree(issued.output()).path("key").asText();
		for (String host : hostIds()) {
			await("the new key works at " + host, 3000, () -> get(host, key).statusCode() == 200);
		}
		return key;
	}

	/** Sends a signal such as {@code STOP} to a host's process. */
	void signal(String hostId, String name) throws Exception {
		Process process = this.running.get(hostId);
		if (process == null) {
			throw new IllegalStateException(hostId + " was not started");
		}
		new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).inheritIO().start().waitFor();
	}

	/** Waits until a host's process has ended and returns its exit code. */
	int awaitExit(String hostId, long seconds) throws Exception {
		Process process = this.running.get(hostId);
		if (process == null || !process.waitFor(seconds, TimeUnit.SECONDS)) {
			throw new AssertionError(hostId + " did not end within " + seconds + " s");
		}
		return process.exitValue();
	}

	void platformFaults(String json) throws Exception {
		new Calls(this.platform).control("/.control/faults", json);
	}

	/** Sets the behaviour of a target: a service time of 5 ms and further fields. */
	void behave(String targetId, String fields) throws Exception {
		new Calls(target(targetId)).control("/.control/behaviour",
				"{\"serviceTime\": {\"kind\": \"log-normal\", \"medianMillis\": 5, \"p99Millis\": 20}, \"queueMillis\": 200"
						+ (fields.isEmpty() ? "" : ", " + fields) + "}");
	}

	/** Returns how often each identity was begun, over all targets. */
	Map<String, Integer> runs() throws Exception {
		Map<String, Integer> counts = new HashMap<>();
		for (String address : this.targets.values()) {
			new Calls(address).json("/.emulator/runs")
				.fields()
				.forEachRemaining((entry) -> counts.merge(entry.getKey(), entry.getValue().asInt(), Integer::sum));
		}
		return counts;
	}

	long started(String targetId) throws Exception {
		return new Calls(target(targetId)).json("/.control/runs?minimumCount=1000000").path("started").asLong();
	}

	/** Returns the changes in the platform's table. */
	List<Change> changes() throws Exception {
		try (PlatformClient client = new PlatformClient("http://" + this.platform, 2000)) {
			return new TableChangeLog(client).read(0).stream().map(ChangeEntry::change).toList();
		}
	}

	/** Runs the operators' command line in a process of its own. */
	OperatorResult operator(String... args) throws Exception {
		List<String> command = new ArrayList<>(
				List.of(System.getProperty("java.home") + "/bin/java", "-Xmx64m", "-XX:TieredStopAtLevel=1", "-cp",
						System.getProperty("java.class.path"), "org.plantainspur.operator.OperatorMain"));
		command.addAll(List.of(args));
		command.addAll(List.of("--platform-url", "http://" + this.platform, "--output", "json"));
		Process process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.INHERIT).start();
		String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		return new OperatorResult(process.waitFor(), output);
	}

	@Override
	public void close() throws IOException {
		this.processes.close();
		for (CuttableLinks links : this.links.values()) {
			links.close();
		}
	}

	record Host(String region, String caller, String peer, String admin) {
	}

	record OperatorResult(int exitCode, String output) {
	}

}
