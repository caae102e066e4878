package org.plantainspur.benchmarks.latency;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;

import org.plantainspur.adapters.platform.PlatformClient;
import org.plantainspur.adapters.platform.TableChangeLog;
import org.plantainspur.core.configuration.Change;
import org.plantainspur.core.configuration.ChangeLog;
import org.plantainspur.core.configuration.ClientAccount;
import org.plantainspur.core.configuration.Route;
import org.plantainspur.core.request.KeyHash;

/**
 * Sets up the platform stand-in and the targets for {@code benchmarks/added-latency}: one
 * account with a rate that no run reaches, one service, and targets with a median service
 * time of 2 ms.
 */
public final class LatencySetup {

	private static final String TARGET_BEHAVIOUR = """
			{"serviceTime": {"kind": "log-normal", "medianMillis": 2, "p99Millis": 3}, "queueMillis": 1000}""";

	private static final String HOST_LIST_ENTRY = """
			{"id": "%s", "kind": "target", "service": "booking", "address": "%s", "region": "pdx",
			 "failureDomain": "pdx-a", "slots": 32, "connections": 400, "state": "live"}""";

	/** Rate in requests/s and burst in requests of the account. */
	private static final double ACCOUNT_RATE = 100_000;

	private static final long TIMEOUT_MILLIS = 5000;

	private static final int STATUS_OK = 200;

	private LatencySetup() {
	}

	/**
	 * Configures the stand-ins, which must be running.
	 * @param args the address of the platform stand-in, then the addresses of the targets
	 * @throws Exception if a stand-in does not respond or refuses its configuration
	 */
	public static void main(String[] args) throws Exception {
		String platform = args[0];
		StringBuilder hosts = new StringBuilder();
		for (int i = 1; i < args.length; i++) {
			put(args[i], "/.control/behaviour", TARGET_BEHAVIOUR);
			hosts.append((i > 1) ? "," : "").append(HOST_LIST_ENTRY.formatted("booking-" + i, args[i]));
		}
		put(platform, "/hosts", "{\"hosts\": [" + hosts + "]}");
		try (PlatformClient client = new PlatformClient("http://" + platform, TIMEOUT_MILLIS)) {
			ChangeLog log = new TableChangeLog(client);
			for (Change change : changes()) {
				if (!(log.append(log.head(), "latency-" + log.head(),
						change) instanceof ChangeLog.AppendResult.Appended)) {
					throw new IOException("the change " + change + " was not appended; start a new platform stand-in");
				}
			}
		}
	}

	private static List<Change> changes() {
		return List.of(new Change.PutAccount(new ClientAccount("bench", ACCOUNT_RATE, ACCOUNT_RATE)),
				new Change.IssueKey(KeyHash.of("latency-benchmark-key"), "bench"),
				new Change.PutRoute(new Route("booking-read", "GET", "/booking", "booking", true, false, 5000)),
				new Change.PutRoute(new Route("booking-write", "POST", "/booking", "booking", false, false, 5000)));
	}

	private static void put(String address, String path, String body) throws IOException, InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
			.header("Content-Type", "application/json")
			.PUT(HttpRequest.BodyPublishers.ofString(body))
			.build();
		HttpResponse<String> response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
		if (response.statusCode() != STATUS_OK) {
			throw new IOException(
					"PUT " + address + path + " failed with status " + response.statusCode() + ": " + response.body());
		}
	}

}
