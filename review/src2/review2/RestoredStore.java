package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The store is away for a moment and comes back from a copy that lacks the newest desired
 * state, which the operator writes again. CONFIG forbids that a machine which has that
 * state in force handles requests as only the older one allows.
 */
final class RestoredStore {

	private static final String KEPT_KEY = "ctnfzs989anu6wsjnban";

	private static final String WITHDRAWN_KEY = "fqasnmgkcuyj8pjbvk9m";

	private static final long ROLLBACK_SLACK_MS = 250;

	private static final long AWAY_MS = 1_000;

	private static final long CHECKED_MS = 14_000;

	private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	private final Record record;

	private final long rewriteMs;

	/** When a request was sent, by its id. */
	private final Map<String, Long> sentMs = new ConcurrentHashMap<>();

	private final List<Run> runs = new ArrayList<>();

	private RestoredStore(Path folder, long rewriteMs) throws Exception {
		this.record = new Record(folder.resolve("record.txt"));
		this.rewriteMs = rewriteMs;
	}

	public static void main(String[] arguments) {
		int exit = 2;
		try {
			exit = new RestoredStore(Path.of(arguments[0]), Long.parseLong(arguments[1])).run();
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(exit);
	}

	private static String state(String version, String bookService, String keys) {
		return """
				{"version":"%s","routes":{"columns":["name","host","prefix","routeType","timeoutMs","targetLatencyMs","priority","trafficSplit","maxAttempts","public","service"],"rows":[["r-book","jepu9.example","/book/","non_idempotent",2500,800,1,null,2,false,"%s"]]},"services":{"columns":["name","healthPath","maxConnections","protocol","tls"],"rows":[["old","/health",330,"h1",false],["new","/health",330,"h1",false]]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],"rows":[["sese880",[%s],1,0,0]]},"baseVersion":"00000005"}"""
			.formatted(version, bookService, keys);
	}

	private int run() throws Exception {
		String first = state("00000007", "old", "\"" + KEPT_KEY + "\",\"" + WITHDRAWN_KEY + "\"");
		String second = state("0000000c", "new", "\"" + KEPT_KEY + "\"");
		Store store = new Store();
		store.put("op", "config", first);
		List<Endpoint> endpoints = new ArrayList<>();
		for (String service : List.of("old", "new")) {
			for (int i = 0; i < 4; i++) {
				endpoints.add(new Endpoint(store, service, "pdx-a", 4, (endpoint, request, attempt) -> {
					synchronized (this.runs) {
						this.runs.add(new Run(this.record.nowMs(), service, attempt, request.uri()));
					}
					return 20;
				}));
			}
		}
		try (Fleet fleet = new Fleet(Path.of("").toAbsolutePath(), store.port(), List.of("pdx-a"))) {
			for (int i = 1; i <= 3; i++) {
				fleet.add("front-pdx-a-" + i, "pdx-a").start();
			}
			fleet.awaitReady(30_000);
			Thread.sleep(Fleet.CONTACT_MS + 1_000);
			List<Integer> ports = Client.resolve(fleet.machines().get(0).directoryPort(), "pdx-a");
			this.record.say("clients connect to " + ports.size() + " machines");
			long endMs = this.record.nowMs() + CHECKED_MS;
			for (int port : ports) {
				HttpServer.thread(() -> client(port, KEPT_KEY, "/book/kept", endMs));
				HttpServer.thread(() -> client(port, WITHDRAWN_KEY, "/book/withdrawn", endMs));
			}
			Thread.sleep(1_000);
			Store.Copy copy = store.copy();
			store.put("op", "config", second);
			this.record.line("version 0000000c acknowledged");
			Thread.sleep(4_000);
			if (this.trouble) {
				store.setAway(true);
				this.record.line("the store is away");
				Thread.sleep(AWAY_MS);
				store.restore(copy);
				store.setAway(false);
				this.record.line("the store is back from a copy that has version 00000007");
				for (Endpoint endpoint : endpoints) {
					endpoint.list("ready");
				}
				Thread.sleep(this.rewriteMs);
				store.put("op", "config", second);
				this.record.line("the operator has written version 0000000c again");
			}
			Thread.sleep(Math.max(0, endMs + 1_000 - this.record.nowMs()));
		}
		return verdict();
	}

	private void client(int port, String key, String path, long endMs) {
		while (this.record.nowMs() < endMs) {
			String id = Client.newId();
			this.sentMs.put(id, this.record.nowMs());
			Client.Answer answer = Client.send(port, "POST", path + "/" + port, id, key, 2_500, "x");
			this.record.line(path + " " + id + " at port " + port + " answered " + answer.status());
			try {
				Thread.sleep(40);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private int verdict() {
		int regressed = 0;
		int withdrawn = 0;
		synchronized (this.runs) {
			for (int port : this.runs.stream().map(Run::port).distinct().toList()) {
				List<Run> ofMachine = this.runs.stream().filter((run) -> run.port() == port).toList();
				long effectMs = ofMachine.stream()
					.filter((run) -> run.service().equals("new"))
					.mapToLong(Run::ms)
					.min()
					.orElse(Long.MAX_VALUE / 2);
				for (Run run : ofMachine) {
					if (run.service().equals("old")
							&& this.sentMs.get(run.attempt()) > effectMs + ROLLBACK_SLACK_MS) {
						regressed++;
						withdrawn += run.uri().contains("withdrawn") ? 1 : 0;
						this.record.line("regressed: " + run.attempt() + " " + run.uri()
								+ " ran at the old service at " + run.ms() + ", effect of 0000000c seen at " + effectMs);
					}
				}
			}
			long seen = this.runs.stream().filter((run) -> run.service().equals("new")).count();
			this.record.say("ran at the new service: " + seen + "; at the old one after its effect was seen: " + regressed
					+ ", of these with the withdrawn key: " + withdrawn);
			if (seen == 0) {
				return 2;
			}
			this.record.say((regressed > 0) ? "CONFIG broken" : "CONFIG held");
			this.record.close();
			return (regressed > 0) ? 1 : 0;
		}
	}

	private record Run(long ms, String service, String attempt, String uri) {

		int port() {
			return Integer.parseInt(this.uri.substring(this.uri.lastIndexOf('/') + 1));
		}

	}

}
