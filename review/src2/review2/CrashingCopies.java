package review2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request that crashes each endpoint that begins to run it comes again, at any machine.
 * BUDGET allows three retries that machines in touch send later than contactMs after it
 * has crashed the third endpoint.
 */
final class CrashingCopies {

	private static final String KEY = "ctnfzs989anu6wsjnban";

	private static final List<String> ZONES = List.of("pdx-a", "pdx-b");

	private static final int HOSTS_PER_ZONE = 2;

	private static final int ENDPOINTS_PER_ZONE = 8;

	private static final int SLOTS = 4;

	private static final long WORK_MS = 100;

	/** The request runs for this long before it crashes its endpoint. */
	private static final long CRASH_AFTER_MS = 150;

	private static final int MAX_RETRIES = 3;

	private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

	private final Path folder;

	private final Record record;

	private final int firstCopies;

	private final long copyEveryMs;

	private final long lengthMs;

	/** When the request has crashed an endpoint, in the order of the crashes. */
	private final List<Long> crashesMs = new ArrayList<>();

	private final Map<String, String> runningBystanders = new ConcurrentHashMap<>();

	private final AtomicInteger lostBystanders = new AtomicInteger();

	private final AtomicInteger lostAfterContact = new AtomicInteger();

	private final AtomicInteger served = new AtomicInteger();

	private CrashingCopies(Path folder, int firstCopies, long copyEveryMs, long lengthMs) throws IOException {
		this.folder = folder;
		this.record = new Record(folder.resolve("record.txt"));
		this.firstCopies = firstCopies;
		this.copyEveryMs = copyEveryMs;
		this.lengthMs = lengthMs;
	}

	public static void main(String[] arguments) {
		int exit = 2;
		try {
			exit = new CrashingCopies(Path.of(arguments[0]), Integer.parseInt(arguments[1]),
					Long.parseLong(arguments[2]), Long.parseLong(arguments[3]))
				.run();
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(exit);
	}

	private int run() throws Exception {
		Store store = new Store();
		store.put("op", "config",
				"""
						{"version":"00000007","routes":{"columns":["name","host","prefix","routeType","timeoutMs","targetLatencyMs","priority","trafficSplit","maxAttempts","public","service"],"rows":[["r-read","jepu9.example","/read/","safe",2000,800,2,null,2,false,"s"],["r-book","jepu9.example","/book/","non_idempotent",2500,800,1,null,2,false,"s"],["r-offer","jepu9.example","/offer/","non_idempotent",2500,800,1,null,2,false,"t"]]},"services":{"columns":["name","healthPath","maxConnections","protocol","tls"],"rows":[["s","/health",330,"h1",false],["t","/health",330,"h1",false]]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":{"columns":["name","apiKeys","priority","ratePerS","burst"],"rows":[["sese880",["%s"],1,0,0]]},"baseVersion":"00000005"}"""
					.formatted(KEY));
		Endpoint.Work work = new Endpoint.Work() {
			@Override
			public long begin(Endpoint endpoint, HttpServer.Request request, String attempt) {
				return CrashingCopies.this.begin(endpoint, request, attempt);
			}

			@Override
			public void back(Endpoint endpoint) {
				CrashingCopies.this.record.line("endpoint back as " + endpoint.id());
			}
		};
		for (String zone : ZONES) {
			for (int i = 0; i < ENDPOINTS_PER_ZONE; i++) {
				new Endpoint(store, "s", zone, SLOTS, work);
				new Endpoint(store, "t", zone, SLOTS, work);
			}
		}
		try (Fleet fleet = new Fleet(Path.of("").toAbsolutePath(), store.port(), ZONES)) {
			for (String zone : ZONES) {
				for (int i = 1; i <= HOSTS_PER_ZONE; i++) {
					fleet.add("front-" + zone + "-" + i, zone).start();
				}
			}
			fleet.awaitReady(30_000);
			Thread.sleep(Fleet.CONTACT_MS + 2_000);
			play(fleet);
		}
		return verdict();
	}

	private long begin(Endpoint endpoint, HttpServer.Request request, String attempt) {
		if (!request.uri().equals("/read/poison")) {
			this.runningBystanders.put(attempt, endpoint.id());
			return WORK_MS;
		}
		synchronized (this.crashesMs) {
			if (!this.trouble) {
				return WORK_MS;
			}
			this.crashesMs.add(this.record.nowMs());
			this.record.line("begun " + attempt + " at " + endpoint.id() + ", which crashes: crash "
					+ this.crashesMs.size());
			return -CRASH_AFTER_MS;
		}
	}

	private void play(Fleet fleet) throws InterruptedException {
		List<Integer> ports = new ArrayList<>();
		for (String zone : ZONES) {
			ports.addAll(Client.resolve(
					fleet.machines().stream().filter((m) -> m.name().contains(zone)).findFirst().orElseThrow()
						.directoryPort(),
					zone));
		}
		this.record.say("clients connect to " + ports.size() + " machines");
		long endMs = this.record.nowMs() + this.lengthMs;
		HttpServer.thread(() -> bystanders(ports, endMs));
		Thread.sleep(3_000);
		for (int i = 0; i < this.firstCopies; i++) {
			int port = ports.get(i % ports.size());
			HttpServer.thread(() -> copy(port));
		}
		int next = 0;
		while (this.record.nowMs() < endMs) {
			Thread.sleep(this.copyEveryMs);
			int port = ports.get(next++ % ports.size());
			HttpServer.thread(() -> copy(port));
		}
		Thread.sleep(2_500);
	}

	private void copy(int port) {
		String id = Client.newId();
		this.record.line("copy " + id + " sent to port " + port);
		Client.Answer answer = Client.send(port, "GET", "/read/poison", id, KEY, 2_000, "");
		this.record.line("copy " + id + " answered " + answer.status());
	}

	// Other bookings of the same service, each of which may run once and is lost if its
	// endpoint crashes.
	private void bystanders(List<Integer> ports, long endMs) {
		while (this.record.nowMs() < endMs) {
			int port = ports.get(ThreadLocalRandom.current().nextInt(ports.size()));
			HttpServer.thread(() -> {
				String id = Client.newId();
				Client.Answer answer = Client.send(port, "POST", (ThreadLocalRandom.current().nextBoolean() ? "/book/" : "/offer/") + id, id, KEY, 2_500, "x");
				if (answer.status() == 200) {
					this.served.incrementAndGet();
				}
				else if (this.runningBystanders.containsKey(id)) {
					this.lostBystanders.incrementAndGet();
					if (isAfterContact(this.record.nowMs())) {
						this.lostAfterContact.incrementAndGet();
					}
					this.record.line("booking " + id + " had begun at " + this.runningBystanders.get(id)
							+ " and was answered " + answer.status());
				}
			});
			try {
				Thread.sleep(20);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private boolean isAfterContact(long ms) {
		synchronized (this.crashesMs) {
			return this.crashesMs.size() > 2 && ms > this.crashesMs.get(2) + Fleet.CONTACT_MS;
		}
	}

	private int verdict() {
		synchronized (this.crashesMs) {
			long late = this.crashesMs.stream().filter(this::isAfterContact).count();
			this.record.say("bookings served " + this.served.get() + ", begun and lost " + this.lostBystanders.get()
					+ ", of these after the limit " + this.lostAfterContact.get());
			this.record.say("endpoints crashed " + this.crashesMs.size() + ", of these later than contactMs after the third: "
					+ late + " (allowed " + MAX_RETRIES + ")");
			boolean broken = late > MAX_RETRIES;
			if (!this.trouble && this.served.get() == 0) {
				this.record.say("nothing was served");
				return 2;
			}
			this.record.say(broken ? "BUDGET broken" : "BUDGET held");
			this.record.close();
			return broken ? 1 : 0;
		}
	}

}
