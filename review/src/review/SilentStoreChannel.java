package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The idle connections of two hosts to the store have gone silent. Later the host that
 * reads the store for them is killed, and a key is withdrawn.
 */
final class SilentStoreChannel {

	/** The bound configApplyMs of the settings. */
	private static final long CONFIG_APPLY_MS = 2_500;

	private SilentStoreChannel() {
	}

	public static void main(String[] arguments) {
		Kit.main(arguments, SilentStoreChannel::run);
	}

	private static int run(Kit kit) throws Exception {
		Config.write(kit.store, Config.KEY, Config.SECOND_KEY);
		Map<String, Long> sentMs = new ConcurrentHashMap<>();
		for (int i = 1; i <= 2; i++) {
			kit.endpoint("conforme", "i-" + i, 2, (endpoint, connection, request) -> {
				endpoint.run(request);
				connection.write(Kit.answer(200, request.id(), "done"));
			});
		}
		List<Kit.Host> hosts = new ArrayList<>();
		List<Proxy> proxies = new ArrayList<>();
		for (int i = 1; i <= 3; i++) {
			Kit.Host host = kit.host("front-ssa-a-" + i, "ssa-a");
			Proxy proxy = new Proxy(kit.store.port());
			host.storePort = proxy.port();
			hosts.add(host);
			proxies.add(proxy);
			host.start();
		}
		for (Kit.Host host : hosts) {
			host.awaitReady();
		}
		Kit.sleep(6_000);
		if (Kit.TROUBLE) {
			for (int i = 1; i <= 2; i++) {
				kit.log(proxies.get(i).silenceOpen() + " open connections of " + hosts.get(i).name
						+ " to the store go silent");
			}
		}
		// Well beyond contactMs, so that all hosts are in touch again.
		Kit.sleep(8_000);
		if (Kit.TROUBLE) {
			kit.log(hosts.get(0).name + " is killed and stays dark for 3.5 s");
			hosts.get(0).kill();
			Kit.thread(() -> {
				Kit.sleep(3_500);
				hosts.get(0).start();
			});
		}
		Kit.sleep(100);
		AtomicBoolean ended = new AtomicBoolean();
		List<Thread> callers = new ArrayList<>();
		for (Kit.Host host : hosts.subList(1, 3)) {
			callers.add(Kit.thread(() -> {
				for (int number = 0; !ended.get(); number++) {
					String id = host.name + "-" + number;
					sentMs.put(id, Kit.nowMs());
					try (Kit.Client client = new Kit.Client(kit, host.front)) {
						client.request("POST", Config.HOST, "/nc/" + id, id, 5_000, Config.SECOND_KEY);
					}
					Kit.sleep(50);
				}
			}));
		}
		Kit.sleep(100);
		Config.write(kit.store, Config.KEY);
		long acknowledgedMs = Kit.nowMs();
		kit.log("the store acknowledges a version without the key " + Config.SECOND_KEY);
		Kit.sleep(8_000);
		ended.set(true);
		for (Thread caller : callers) {
			caller.join();
		}
		for (Kit.Host host : hosts) {
			host.copyLog("read-duty", "store-", "desired-state");
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
