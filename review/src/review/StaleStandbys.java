package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The host that reads the store freezes for some seconds, while an endpoint leaves, the
 * desired state changes and the store discards its history. Later a key is withdrawn.
 */
final class StaleStandbys {

	/** The bound configApplyMs of the settings. */
	private static final long CONFIG_APPLY_MS = 2_500;

	/** How long the reader is frozen. */
	private static final long FREEZE_MS = 2_450;

	private StaleStandbys() {
	}

	public static void main(String[] arguments) {
		Kit.main(arguments, StaleStandbys::run);
	}

	private static int run(Kit kit) throws Exception {
		Config.write(kit.store, Config.KEY, Config.SECOND_KEY);
		Map<String, Long> sentMs = new ConcurrentHashMap<>();
		Kit.Handler handler = (endpoint, connection, request) -> {
			endpoint.run(request);
			connection.write(Kit.answer(200, request.id(), "done"));
		};
		for (int i = 1; i <= 3; i++) {
			kit.endpoint("conforme", "i-" + i, 2, handler);
		}
		Kit.Endpoint leaving = kit.endpoint("rastro", "i-4", 2, handler);
		List<Kit.Host> hosts = new ArrayList<>();
		for (int i = 1; i <= 3; i++) {
			Kit.Host host = kit.host("front-ssa-a-" + i, "ssa-a");
			hosts.add(host);
			host.start();
			if (i == 1) {
				host.awaitReady();
			}
		}
		for (Kit.Host host : hosts) {
			host.awaitReady();
		}
		Kit.sleep(6_000);
		if (Kit.TROUBLE) {
			// The calls of the reader must not time out while it is frozen, and the other
			// hosts must begin to read, so it freezes when it has just begun to wait.
			kit.store.awaitFeedCall("op");
			Kit.sleep(60);
			hosts.get(0).signal("STOP");
		}
		leaving.close();
		kit.store.remove("servers", leaving.id);
		kit.log("the entry of " + leaving.id + " is removed");
		if (Kit.TROUBLE) {
			kit.store.dropHistory();
			kit.log("the store discards its history");
		}
		for (int i = 0; i < 3; i++) {
			Config.write(kit.store, Config.KEY, Config.SECOND_KEY);
			kit.log("the store acknowledges a new version");
			Kit.sleep(300);
		}
		Kit.sleep(FREEZE_MS - 900);
		if (Kit.TROUBLE) {
			hosts.get(0).signal("CONT");
		}
		// Well beyond contactMs, so that all hosts are in touch again.
		Kit.sleep(8_000);
		AtomicBoolean ended = new AtomicBoolean();
		List<Thread> callers = new ArrayList<>();
		for (Kit.Host host : hosts) {
			callers.add(Kit.thread(() -> {
				for (int number = 0; !ended.get(); number++) {
					String id = host.name + "-" + number;
					sentMs.put(id, Kit.nowMs());
					try (Kit.Client client = new Kit.Client(kit, host.front)) {
						client.request("POST", Config.HOST, "/nc/" + id, id, 5_000, Config.SECOND_KEY);
					}
					Kit.sleep(100);
				}
			}));
		}
		Kit.sleep(300);
		Config.write(kit.store, Config.KEY);
		long acknowledgedMs = Kit.nowMs();
		kit.log("the store acknowledges a version without the key " + Config.SECOND_KEY);
		Kit.sleep(15_000);
		ended.set(true);
		for (Thread caller : callers) {
			caller.join();
		}
		for (Kit.Host host : hosts) {
			host.copyLog("read-duty", "store-", "desired-state", "target-gone");
		}
		int late = 0;
		long last = 0;
		for (String id : kit.runs.keySet()) {
			long afterMs = sentMs.get(id) - acknowledgedMs;
			if (afterMs > CONFIG_APPLY_MS) {
				late++;
				last = Math.max(last, afterMs);
			}
		}
		kit.log("CONFIG: " + late + " requests with the withdrawn key were sent later than " + CONFIG_APPLY_MS
				+ " ms after the acknowledgement and have run" + ((late > 0) ? ", the last one " + last + " ms" : ""));
		return kit.runs.isEmpty() ? Kit.CANNOT_RUN : (late > 0) ? Kit.BROKEN : Kit.HELD;
	}

}
