package org.plantainspur.host;

import org.plantainspur.adapters.settings.Setting;

/**
 * The settings of an entry host.
 */
public final class HostSettings {

	private static final String ADDRESS = "[0-9a-fA-F.:\\[\\]]+:[0-9]{1,5}";

	private static final String NAME = "[A-Za-z0-9][A-Za-z0-9-]{0,62}";

	@Setting(flag = "--host-id", variable = "PLANTAINSPUR_HOST_ID", pattern = NAME, example = "entry-1",
			help = "this host's name; stays when the process is replaced")
	private String hostId = "";

	@Setting(flag = "--region", variable = "PLANTAINSPUR_REGION", pattern = NAME, example = "pdx",
			help = "this host's region")
	private String region = "";

	@Setting(flag = "--failure-domain", variable = "PLANTAINSPUR_FAILURE_DOMAIN", pattern = NAME, example = "pdx-a",
			help = "this host's failure domain")
	private String failureDomain = "";

	@Setting(flag = "--caller-address", variable = "PLANTAINSPUR_CALLER_ADDRESS", defaultValue = "127.0.0.1:8080",
			pattern = ADDRESS, help = "ip:port for callers")
	private String callerAddress = "";

	@Setting(flag = "--peer-address", variable = "PLANTAINSPUR_PEER_ADDRESS", defaultValue = "127.0.0.1:8082",
			pattern = ADDRESS, help = "ip:port for other members")
	private String peerAddress = "";

	@Setting(flag = "--admin-address", variable = "PLANTAINSPUR_ADMIN_ADDRESS", defaultValue = "127.0.0.1:8081",
			pattern = ADDRESS, help = "ip:port for operators and metrics")
	private String adminAddress = "";

	@Setting(flag = "--platform-url", variable = "PLANTAINSPUR_PLATFORM_URL", pattern = "https?://[^/]+",
			example = "http://127.0.0.1:7000", help = "the platform's address")
	private String platformUrl = "";

	@Setting(flag = "--platform-timeout", variable = "PLANTAINSPUR_PLATFORM_TIMEOUT", defaultValue = "1000",
			minimum = 10, maximum = 60_000, help = "time for one answer of the platform, in milliseconds")
	private long platformTimeoutMillis;

	@Setting(flag = "--poll-interval", variable = "PLANTAINSPUR_POLL_INTERVAL", defaultValue = "500", minimum = 10,
			maximum = 60_000, help = "time between reads of the platform, in milliseconds")
	private long pollIntervalMillis;

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

}
