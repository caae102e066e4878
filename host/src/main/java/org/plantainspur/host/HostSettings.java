package org.plantainspur.host;

import org.plantainspur.adapters.settings.Setting;

/**
 * The settings of an entry host, each from a flag or an environment variable.
 */
public final class HostSettings {

	private static final String ADDRESS_PATTERN = "[0-9a-fA-F.:\\[\\]]+:[0-9]{1,5}";

	private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9-]{0,62}";

	@Setting(flag = "--host-id", variable = "PLANTAINSPUR_HOST_ID", pattern = NAME_PATTERN, example = "entry-1",
			help = "name of this host; a process that replaces this one uses the same name")
	private String hostId = "";

	@Setting(flag = "--region", variable = "PLANTAINSPUR_REGION", pattern = NAME_PATTERN, example = "pdx",
			help = "this host's region")
	private String region = "";

	@Setting(flag = "--failure-domain", variable = "PLANTAINSPUR_FAILURE_DOMAIN", pattern = NAME_PATTERN,
			example = "pdx-a", help = "this host's failure domain")
	private String failureDomain = "";

	@Setting(flag = "--caller-address", variable = "PLANTAINSPUR_CALLER_ADDRESS", defaultValue = "127.0.0.1:8080",
			pattern = ADDRESS_PATTERN, help = "ip:port for callers")
	private String callerAddress = "";

	@Setting(flag = "--peer-address", variable = "PLANTAINSPUR_PEER_ADDRESS", defaultValue = "127.0.0.1:8082",
			pattern = ADDRESS_PATTERN, help = "ip:port for other members")
	private String peerAddress = "";

	@Setting(flag = "--admin-address", variable = "PLANTAINSPUR_ADMIN_ADDRESS", defaultValue = "127.0.0.1:8081",
			pattern = ADDRESS_PATTERN, help = "ip:port for operators and metrics")
	private String adminAddress = "";

	@Setting(flag = "--platform-url", variable = "PLANTAINSPUR_PLATFORM_URL", pattern = "https?://[^/]+",
			example = "http://127.0.0.1:7000", help = "the platform's address")
	private String platformUrl = "";

	@Setting(flag = "--platform-region", variable = "PLANTAINSPUR_PLATFORM_REGION", pattern = NAME_PATTERN,
			example = "pdx", help = "the region that the platform is in")
	private String platformRegion = "";

	@Setting(flag = "--fleet-secret", variable = "PLANTAINSPUR_FLEET_SECRET", pattern = ".{16,256}", secret = true,
			example = "the output of 'openssl rand -hex 32'",
			help = "secret shared by all members, 16 to 256 characters; prefer the variable, since flags are visible to others")
	private String fleetSecret = "";

	@Setting(flag = "--seeds", variable = "PLANTAINSPUR_SEEDS", defaultValue = "",
			pattern = "(" + ADDRESS_PATTERN + "(," + ADDRESS_PATTERN + ")*)?",
			example = "127.0.0.1:8082,127.0.0.1:8092",
			help = "peer addresses of some members, separated by commas; asked by a host that starts while the platform is unavailable")
	private String seeds = "";

	@Setting(flag = "--log-level", variable = "PLANTAINSPUR_LOG_LEVEL", defaultValue = "info",
			pattern = "error|warn|info|debug|trace",
			help = "minimum level of log lines to write: error, warn, info, debug or trace")
	private String logLevel = "";

	@Setting(flag = "--platform-timeout", variable = "PLANTAINSPUR_PLATFORM_TIMEOUT", defaultValue = "1000",
			minimum = 10, maximum = 60_000,
			help = "timeout for connecting to the platform and for each wait for its response, in milliseconds")
	private long platformTimeoutMillis;

	@Setting(flag = "--poll-interval", variable = "PLANTAINSPUR_POLL_INTERVAL", defaultValue = "500", minimum = 10,
			maximum = 60_000, help = "interval between reads of the platform, in milliseconds; longer in a large fleet")
	private long pollIntervalMillis;

	@Setting(flag = "--caller-threads", variable = "PLANTAINSPUR_CALLER_THREADS", defaultValue = "256", minimum = 8,
			maximum = 4096, help = "number of threads that serve callers; each request in flight occupies one")
	private int callerThreads;

	@Setting(flag = "--peer-connections", variable = "PLANTAINSPUR_PEER_CONNECTIONS", defaultValue = "128", minimum = 4,
			maximum = 2000, help = "maximum number of connections from other members; each occupies one thread")
	private int peerConnections;

	@Setting(flag = "--relay-threads", variable = "PLANTAINSPUR_RELAY_THREADS", defaultValue = "64", minimum = 1,
			maximum = 1024, help = "maximum number of relayed requests that run concurrently")
	private int relayThreads;

	@Setting(flag = "--header-bytes", variable = "PLANTAINSPUR_HEADER_BYTES", defaultValue = "16384", minimum = 1024,
			maximum = 262_144, help = "maximum total size of the header fields of a request, in bytes")
	private int headerBytes;

	@Setting(flag = "--account-connections", variable = "PLANTAINSPUR_ACCOUNT_CONNECTIONS", defaultValue = "1000",
			minimum = 1, maximum = 100_000, help = "maximum number of connections of one client account at this host")
	private int accountConnections;

	@Setting(flag = "--account-requests", variable = "PLANTAINSPUR_ACCOUNT_REQUESTS", defaultValue = "192", minimum = 1,
			maximum = 4096, help = "maximum number of concurrent requests of one client account at this host")
	private int accountRequests;

	@Setting(flag = "--caller-idle-timeout", variable = "PLANTAINSPUR_CALLER_IDLE_TIMEOUT", defaultValue = "60000",
			minimum = 1000, maximum = 600_000,
			help = "idle time after which a caller's connection is closed, in milliseconds; set it above --longest-deadline")
	private long callerIdleTimeoutMillis;

	@Setting(flag = "--caller-data-rate", variable = "PLANTAINSPUR_CALLER_DATA_RATE", defaultValue = "256", minimum = 1,
			maximum = 1_000_000,
			help = "minimum rate at which a caller must send a body or read an answer, in bytes per second")
	private int callerDataRate;

	@Setting(flag = "--longest-deadline", variable = "PLANTAINSPUR_LONGEST_DEADLINE", defaultValue = "30000",
			minimum = 1000, maximum = 300_000,
			help = "longest timeout of any route, in milliseconds; limits how long a stopping host waits for new requests to cease")
	private long longestDeadlineMillis;

	@Setting(flag = "--stop-idle-time", variable = "PLANTAINSPUR_STOP_IDLE_TIME", defaultValue = "1000", minimum = 0,
			maximum = 60_000, help = "time without requests after which a stopping host ends early, in milliseconds")
	private long stopIdleMillis;

	public String hostId() {
		return this.hostId;
	}

	public String region() {
		return this.region;
	}

	public String failureDomain() {
		return this.failureDomain;
	}

	public String callerAddress() {
		return this.callerAddress;
	}

	public String peerAddress() {
		return this.peerAddress;
	}

	public String adminAddress() {
		return this.adminAddress;
	}

	public String platformUrl() {
		return this.platformUrl;
	}

	public long platformTimeoutMillis() {
		return this.platformTimeoutMillis;
	}

	public long pollIntervalMillis() {
		return this.pollIntervalMillis;
	}

	public int callerThreads() {
		return this.callerThreads;
	}

	public int peerConnections() {
		return this.peerConnections;
	}

	public int relayThreads() {
		return this.relayThreads;
	}

	public int headerBytes() {
		return this.headerBytes;
	}

	public int accountConnections() {
		return this.accountConnections;
	}

	public int accountRequests() {
		return this.accountRequests;
	}

	public long callerIdleTimeoutMillis() {
		return this.callerIdleTimeoutMillis;
	}

	public int callerDataRate() {
		return this.callerDataRate;
	}

	public long longestDeadlineMillis() {
		return this.longestDeadlineMillis;
	}

	public long stopIdleMillis() {
		return this.stopIdleMillis;
	}

	public String platformRegion() {
		return this.platformRegion;
	}

	public String fleetSecret() {
		return this.fleetSecret;
	}

	public String seeds() {
		return this.seeds;
	}

	public String logLevel() {
		return this.logLevel;
	}

}
