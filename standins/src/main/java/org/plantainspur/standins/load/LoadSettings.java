package org.plantainspur.standins.load;

import org.plantainspur.adapters.settings.Setting;

/**
 * The settings of the load tool.
 */
final class LoadSettings {

	private static final String ADDRESSES = "(127\\.[0-9.]+:[0-9]{1,5}(,127\\.[0-9.]+:[0-9]{1,5})*)?";

	private static final String PATHS = "/[^ ,]*(,/[^ ,]*)*";

	@Setting(flag = "--entries", variable = "LOAD_ENTRIES", defaultValue = "", pattern = ADDRESSES,
			example = "127.0.0.1:8080,127.0.0.1:8090",
			help = "ip:port of entry hosts that are asked which hosts to use, comma-separated")
	private String entries = "";

	@Setting(flag = "--direct", variable = "LOAD_DIRECT", defaultValue = "", pattern = ADDRESSES,
			example = "127.0.0.1:9000",
			help = "ip:port of targets to send to directly, without entry hosts, for comparison; comma-separated")
	private String direct = "";

	@Setting(flag = "--accounts", variable = "LOAD_ACCOUNTS",
			pattern = "[^:,]+:[^:,]+:[0-9.]+(,[^:,]+:[^:,]+:[0-9.]+)*",
			example = "harbor-clinic:key-1:3,north-school:key-2:1",
			help = "client accounts as name:key:share, comma-separated; shares are relative")
	private String accounts = "";

	@Setting(flag = "--rate", variable = "LOAD_RATE", defaultValue = "100", minimum = 1, maximum = 100_000,
			help = "requests per second over all accounts")
	private double rate;

	@Setting(flag = "--seconds", variable = "LOAD_SECONDS", defaultValue = "10", minimum = 1, maximum = 86_400,
			help = "how long to send after the warm-up, in seconds")
	private double seconds;

	@Setting(flag = "--warm-up", variable = "LOAD_WARM_UP", defaultValue = "0", minimum = 0, maximum = 3600,
			help = "seconds of sending before the report begins to count")
	private double warmUpSeconds;

	@Setting(flag = "--non-idempotent", variable = "LOAD_NON_IDEMPOTENT", defaultValue = "20", minimum = 0,
			maximum = 100, help = "percentage of requests that are non-idempotent (POST)")
	private double nonIdempotentPercent;

	@Setting(flag = "--read-paths", variable = "LOAD_READ_PATHS", defaultValue = "/booking/{n}", pattern = PATHS,
			help = "paths of idempotent requests (GET), comma-separated; {n} becomes the request's number")
	private String readPaths = "";

	@Setting(flag = "--write-paths", variable = "LOAD_WRITE_PATHS", defaultValue = "/booking", pattern = PATHS,
			help = "paths of non-idempotent requests (POST), comma-separated; {n} becomes the request's number")
	private String writePaths = "";

	@Setting(flag = "--deadline", variable = "LOAD_DEADLINE", defaultValue = "0", minimum = 0, maximum = 600_000,
			help = "X-Deadline-Ms of each request in milliseconds, 0 to send none")
	private long deadlineMillis;

	@Setting(flag = "--timeout", variable = "LOAD_TIMEOUT", defaultValue = "10000", minimum = 1, maximum = 600_000,
			help = "longest wait for each answer, in milliseconds")
	private long timeoutMillis;

	@Setting(flag = "--resend", variable = "LOAD_RESEND", defaultValue = "1", minimum = 0, maximum = 100,
			help = "how often a request is sent again: a non-idempotent one with an unknown outcome with the same key, "
					+ "and any that could not connect")
	private int resend;

	@Setting(flag = "--connections", variable = "LOAD_CONNECTIONS", defaultValue = "200", minimum = 1, maximum = 10_000,
			help = "maximum number of connections to one host or target")
	private int connections;

	@Setting(flag = "--outstanding", variable = "LOAD_OUTSTANDING", defaultValue = "20000", minimum = 1,
			maximum = 1_000_000, help = "maximum number of requests without an answer; "
					+ "further ones are not sent and count as tool-limit errors")
	private int outstanding;

	@Setting(flag = "--seed", variable = "LOAD_SEED", defaultValue = "1",
			help = "seed of the random choice of requests")
	private long seed;

	@Setting(flag = "--output", variable = "LOAD_OUTPUT", defaultValue = "text", pattern = "text|json",
			help = "format of the report: text or json")
	private String output = "";

	String entries() {
		return this.entries;
	}

	String direct() {
		return this.direct;
	}

	String accounts() {
		return this.accounts;
	}

	double rate() {
		return this.rate;
	}

	double seconds() {
		return this.seconds;
	}

	double warmUpSeconds() {
		return this.warmUpSeconds;
	}

	double nonIdempotentPercent() {
		return this.nonIdempotentPercent;
	}

	String readPaths() {
		return this.readPaths;
	}

	String writePaths() {
		return this.writePaths;
	}

	long deadlineMillis() {
		return this.deadlineMillis;
	}

	long timeoutMillis() {
		return this.timeoutMillis;
	}

	int resend() {
		return this.resend;
	}

	int connections() {
		return this.connections;
	}

	int outstanding() {
		return this.outstanding;
	}

	long seed() {
		return this.seed;
	}

	boolean isJson() {
		return this.output.equals("json");
	}

}
