package org.plantainspur.standins.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;

import org.plantainspur.core.log.DecisionLog;
import org.plantainspur.core.testing.FreePorts;
import org.plantainspur.gateway.GatewayHost;
import org.plantainspur.gateway.GatewayShutdown;
import org.plantainspur.platform.PlatformHostFactory;
import org.plantainspur.platform.PlatformHostMain;
import org.plantainspur.standins.http.Handler;
import org.plantainspur.standins.http.Response;
import org.plantainspur.standins.http.StandInServer;
import org.plantainspur.standins.tablestore.TableStoreStandIn;

/**
 * Starts entry hosts on loopback addresses, with a stand-in for the table store and
 * targets whose responses a test scripts.
 */
final class GatewayFixture implements AutoCloseable {

	static final String KEY = "key-of-mill";

	private static final int TIMEOUT_MILLIS = 5_000;

	private static final int GRACE_SECONDS = 5;

	private final TableStoreStandIn store = new TableStoreStandIn();

	private final List<AutoCloseable> resources = new ArrayList<>();

	private final List<String> logLines = new CopyOnWriteArrayList<>();

	private int version = 0x10;

	GatewayFixture() throws IOException {
		writeDesiredState(KEY);
	}

	TableStoreStandIn store() {
		return this.store;
	}

	List<String> logLines() {
		return this.logLines;
	}

	/** Writes a new desired state in which the account mill has the given key. */
	void writeDesiredState(String key) {
		writeDesiredState(key, 2_000, 65_536, 1_000);
	}

	/** Writes a new desired state in which the account mill has no rate limit. */
	void writeDesiredStateWithoutRateLimit() {
		writeDesiredState(KEY, 2_000, 65_536, 0);
	}

	/** Writes a new desired state with the given timeout of the route book. */
	void writeDesiredStateWithTimeout(long timeoutMs) {
		writeDesiredState(KEY, timeoutMs, 65_536, 1_000);
	}

	/** Writes a new desired state with the given longest body of a request. */
	void writeDesiredStateWithMaxBody(int maxBodyBytes) {
		writeDesiredState(KEY, 2_000, maxBodyBytes, 1_000);
	}

	private void writeDesiredState(String key, long timeoutMs, int maxBodyBytes, int requestsPerSecond) {
		this.version += 3;
		this.store.put("op", "config",
				"""
						{"version":"%08x","routes":{"columns":["name","host","prefix","routeType","timeoutMs","targetLatencyMs",
						"priority","maxAttempts","public","service"],"rows":[
						["read","jobs.example","/read/","safe",2000,500,0,2,false,"s"],
						["other","jobs.example","/other/","safe",2000,500,0,2,false,"t"],
						["once","jobs.example","/once/","non_idempotent",2000,500,0,1,false,"s"],
						["book","jobs.example","/book/","non_idempotent",%d,500,0,2,false,"s"]]},
						"services":{"columns":["name","healthPath","maxConnections"],"rows":[["s","/health",100],["t","/health",100]]},
						"limits":{"maxHeaderBytes":16384,"maxBodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
						"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],
						"rows":[["mill",["%s"],0,%d,%d]]}}"""
					.formatted(this.version, timeoutMs, maxBodyBytes, key, requestsPerSecond, requestsPerSecond));
	}

	/**
	 * Starts a target whose requests the given handler answers, and lists it in the table
	 * store as ready.
	 */
	StandInServer startTarget(String id, Handler handler) throws IOException {
		StandInServer server = new StandInServer("127.0.0.1", 0, handler);
		this.resources.add(server);
		listTarget(id, server.port(), "ready");
		return server;
	}

	/** Starts a target of any service in any failure domain. */
	StandInServer startTarget(String service, String id, String failureDomain, Handler handler) throws IOException {
		StandInServer server = new StandInServer("127.0.0.1", 0, handler);
		this.resources.add(server);
		listTarget(service, id, server.port(), "ready", failureDomain);
		return server;
	}

	/**
	 * Starts a target whose connections the given handler serves as raw streams, and
	 * lists it in the table store as ready.
	 */
	RawServer startRawTarget(String id, RawServer.ConnectionHandler handler) throws IOException {
		return startRawTarget(id, "a", handler);
	}

	/** Starts a raw target in the given failure domain. */
	RawServer startRawTarget(String id, String failureDomain, RawServer.ConnectionHandler handler) throws IOException {
		RawServer target = new RawServer(handler);
		this.resources.add(target);
		listTarget("s", id, target.port(), "ready", failureDomain);
		return target;
	}

	void listTarget(String id, int port, String state) {
		listTarget("s", id, port, state);
	}

	void listTarget(String service, String id, int port, String state) {
		listTarget(service, id, port, state, "a");
	}

	private void listTarget(String service, String id, int port, String state, String failureDomain) {
		this.store.put("servers", id, """
				{"service":"%s","address":"127.0.0.1:%d","zone":"%s","version":"v1","slots":4,"state":"%s",
				"coldLeftMs":0,"seq":1}""".formatted(service, port, failureDomain, state));
	}

	/** Lists a ready target of the service s, with the start of its process. */
	void listTargetStartedAt(String id, int port, long startedMs) {
		this.store.put("servers", id, """
				{"service":"s","address":"127.0.0.1:%d","zone":"a","version":"v1","slots":4,"state":"ready",
				"coldLeftMs":0,"seq":1,"born":%d}""".formatted(port, startedMs));
	}

	static Response signedResponse(String requestId, String text) {
		return Response.text(200, text)
			.withHeader("X-Plantainspur-Attempt-Id", requestId)
			.withHeader("X-Plantainspur-Response-Signature", "signed");
	}

	Host startReadyHost(String name) throws IOException {
		Host host = startHost(name);
		awaitReady(host);
		return host;
	}

	/** Starts a host without waiting until it is ready. */
	Host startHost(String name) throws IOException {
		return startHost(name, freePorts());
	}

	/**
	 * Starts a host that reaches the table store at another port, such as that of a
	 * {@link TcpForwarder}, and waits until it is ready.
	 */
	Host startReadyHostWithStoreAt(String name, int storePort) throws IOException {
		Host host = startHost(name, freePorts(), storePort);
		awaitReady(host);
		return host;
	}

	void awaitReady(Host host) {
		await(() -> sendRequest(host.readyPort(), "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").startsWith("HTTP/1.1 200"));
	}

	/**
	 * Closes a host without a graceful shutdown and starts it again at the same
	 * addresses.
	 */
	Host killAndRestartHost(String name, Host previous) throws IOException {
		previous.gateway().close();
		return startHost(name, previous.ports());
	}

	/**
	 * Starts a host as a process with the memory and stack sizes of
	 * {@code deploy/system.toml}, and waits until it is ready.
	 */
	HostProcess startReadyHostProcess(String name) throws IOException {
		return startReadyHostProcess(name, GRACE_SECONDS);
	}

	/** Starts such a process that reaches the table store at another port. */
	HostProcess startReadyHostProcessWithStoreAt(String name, int storePort) throws IOException {
		return startReadyHostProcess(name, "a", "zones.a=r", storePort, GRACE_SECONDS);
	}

	/** Starts such a process with the given grace period. */
	HostProcess startReadyHostProcess(String name, int graceSeconds) throws IOException {
		return startReadyHostProcess(name, "a", "zones.a=r", this.store.port(), graceSeconds);
	}

	/**
	 * Starts a host process in a failure domain.
	 * @param failureDomain the failure domain of the host
	 * @param regions the lines of the settings that assign failure domains to regions
	 */
	HostProcess startReadyHostProcess(String name, String failureDomain, String regions) throws IOException {
		return startReadyHostProcess(name, failureDomain, regions, this.store.port(), GRACE_SECONDS);
	}

	private HostProcess startReadyHostProcess(String name, String failureDomain, String regions, int storePort,
			int graceSeconds) throws IOException {
		int[] ports = freePorts();
		Path settings = Files.writeString(Files.createTempFile(name, ".conf"),
				settings(name, failureDomain, regions, ports, storePort, graceSeconds));
		ProcessBuilder builder = new ProcessBuilder(System.getProperty("java.home") + "/bin/java", "-Xmx64m",
				"-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Dio.netty.allocator.type=unpooled", "-cp",
				System.getProperty("java.class.path"), PlatformHostMain.class.getName());
		builder.environment().put("PLANTAINSPUR_CONFIG", settings.toString());
		Path log = Files.createTempFile(name, ".log");
		Process process = builder.redirectErrorStream(true).redirectOutput(log.toFile()).start();
		this.resources.add(() -> {
			process.destroyForcibly().waitFor();
			Files.delete(settings);
			Files.delete(log);
		});
		await(() -> sendRequest(ports[1], "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").startsWith("HTTP/1.1 200"));
		return new HostProcess(process, ports[0], log);
	}

	private Host startHost(String name, int[] ports) throws IOException {
		return startHost(name, ports, this.store.port());
	}

	private Host startHost(String name, int[] ports, int storePort) throws IOException {
		GatewayHost gateway = PlatformHostFactory.create("node.conf",
				settings(name, "a", "zones.a=r", ports, storePort, GRACE_SECONDS),
				(event, fields) -> this.logLines.add(name + " " + event + " " + List.of(fields)));
		Host host = new Host(gateway, gateway.start(), ports);
		this.resources.add(gateway);
		return host;
	}

	/**
	 * Starts a host whose paths to the targets can be cut, and waits until it is ready.
	 * @param failureDomain the failure domain of the host
	 * @param regions the lines of the settings that assign failure domains to regions
	 */
	CuttableHost startReadyCuttableHost(String name, String failureDomain, String regions) throws IOException {
		int[] ports = freePorts();
		DecisionLog log = (event, fields) -> this.logLines.add(name + " " + event + " " + List.of(fields));
		HostPaths paths = new HostPaths(PlatformHostFactory.adapter(log));
		GatewayHost gateway = PlatformHostFactory.create("node.conf",
				settings(name, failureDomain, regions, ports, this.store.port(), GRACE_SECONDS), log, paths);
		Host host = new Host(gateway, gateway.start(), ports);
		this.resources.add(paths);
		this.resources.add(gateway);
		awaitReady(host);
		return new CuttableHost(host, paths);
	}

	private static String settings(String name, String failureDomain, String regions, int[] ports, int storePort,
			int graceSeconds) {
		return """
				nodeName=%s
				ip=127.0.0.1
				zone=%s
				%s
				listen.front=127.0.0.1:%d
				listen.ready=127.0.0.1:%d
				listen.directory=127.0.0.1:%d
				internalPorts=%d,%d
				platform.address=127.0.0.1:%d
				bounds=graceS=%d,retryBudgetRatio=0.2,budgetExtra=60
				""".formatted(name, failureDomain, regions, ports[0], ports[1], ports[2], ports[3], ports[3] + 2,
				storePort, graceSeconds);
	}

	// The peer port serves UDP and TCP; the two next higher ports serve metrics and
	// relayed requests.
	private static int[] freePorts() throws IOException {
		int[] ports = { FreePorts.next(), FreePorts.next(), FreePorts.next(), FreePorts.next() };
		int metricsPort = FreePorts.next();
		int relayPort = FreePorts.next();
		while (relayPort != ports[3] + 2 || !isUdpPortFree(ports[3])) {
			ports[3] = metricsPort;
			metricsPort = relayPort;
			relayPort = FreePorts.next();
		}
		return ports;
	}

	private static boolean isUdpPortFree(int port) {
		try (DatagramSocket udp = new DatagramSocket(port)) {
			return udp.isBound();
		}
		catch (IOException ex) {
			return false;
		}
	}

	static String requestText(String method, String path, String id, String extraHeaders) {
		return method + " " + path + " HTTP/1.1\r\nHost: jobs.example\r\nX-Plantainspur-Attempt-Id: " + id
				+ "\r\nX-Plantainspur-Deadline-Ms: 2000\r\nAuthorization: Bearer " + KEY + "\r\n" + extraHeaders
				+ "\r\n";
	}

	/**
	 * Sends a request on a new connection and returns the response, or the text of the
	 * I/O error after {@code failed:}.
	 */
	static String sendRequest(int port, String request) {
		try (Socket socket = new Socket("127.0.0.1", port)) {
			socket.setSoTimeout(TIMEOUT_MILLIS);
			socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			return readResponse(socket.getInputStream());
		}
		catch (IOException ex) {
			return "failed: " + ex.getMessage();
		}
	}

	/** Sends a read with a key and returns the status of the response. */
	static int read(Host host, String key) {
		String response = sendRequest(host.port(),
				requestText("GET", "/read/1", "r" + System.nanoTime(), "").replace(KEY, key));
		return Integer.parseInt(response.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
	}

	static String readResponse(InputStream input) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		int expected = Integer.MAX_VALUE;
		while (bytes.size() < expected) {
			int next = input.read();
			if (next < 0) {
				break;
			}
			bytes.write(next);
			if (expected == Integer.MAX_VALUE && next == '\n') {
				expected = expectedLength(bytes.toString(StandardCharsets.ISO_8859_1));
			}
		}
		return bytes.toString(StandardCharsets.ISO_8859_1);
	}

	private static int expectedLength(String head) {
		if (!head.endsWith("\r\n\r\n")) {
			return Integer.MAX_VALUE;
		}
		for (String line : head.split("\r\n")) {
			if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
				return head.length() + Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
			}
		}
		return Integer.MAX_VALUE;
	}

	static void await(BooleanSupplier condition) {
		long end = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000L;
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() > end) {
				throw new AssertionError("the condition was not met within " + TIMEOUT_MILLIS + " ms");
			}
			sleep(20);
		}
	}

	static long nowMs() {
		return System.nanoTime() / 1_000_000;
	}

	static void sleep(long milliseconds) {
		try {
			Thread.sleep(milliseconds);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void close() throws Exception {
		for (int i = this.resources.size() - 1; i >= 0; i--) {
			this.resources.get(i).close();
		}
		this.store.close();
	}

	record CuttableHost(Host host, HostPaths paths) {

		int port() {
			return this.host.port();
		}

	}

	record HostProcess(Process process, int port, Path log) {
	}

	record Host(GatewayHost gateway, GatewayShutdown shutdown, int[] ports) {

		int port() {
			return this.ports[0];
		}

		int readyPort() {
			return this.ports[1];
		}

		int directoryPort() {
			return this.ports[2];
		}

		int peerPort() {
			return this.ports[3];
		}

	}

}
