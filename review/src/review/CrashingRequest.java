package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request that crashes each endpoint that begins to run it comes again and again, beside
 * requests that must not be repeated.
 */
final class CrashingRequest {

	/** The bound contactMs of the settings. */
	private static final long CONTACT_MS = 4_000;

	private static final int MAX_RETRIES = 3;

	private static final String CRASHING_PATH = "/certs/crashing";

	private CrashingRequest() {
	}

	public static void main(String[] arguments) {
		Kit.main(arguments, CrashingRequest::run);
	}

	private static int run(Kit kit) throws Exception {
		Config.write(kit.store);
		List<Long> crashes = new ArrayList<>();
		List<String> arrivals = new ArrayList<>();
		List<String> lateRetries = new ArrayList<>();
		Set<String> lost = ConcurrentHashMap.newKeySet();
		// The claims that an endpoint was running when a late retry crashed it.
		Set<String> endedByLateRetry = ConcurrentHashMap.newKeySet();
		Map<String, Set<String>> running = new ConcurrentHashMap<>();
		for (int i = 1; i <= 8; i++) {
			kit.endpoint("selo", "i-" + i, 2, (endpoint, connection, request) -> {
				if (Kit.TROUBLE && request.path().equals(CRASHING_PATH)) {
					synchronized (crashes) {
						boolean retry = arrivals.contains(request.id());
						arrivals.add(request.id());
						if (retry && crashes.size() >= 3 && Kit.nowMs() - crashes.get(2) > CONTACT_MS) {
							lateRetries.add(request.id() + " at " + endpoint.id);
							endedByLateRetry.addAll(running.getOrDefault(endpoint.id, Set.of()));
						}
						crashes.add(Kit.nowMs());
					}
					endpoint.run(request);
					kit.log(endpoint.id + " crashes (crash " + crashes.size() + ")");
					Kit.thread(() -> {
						endpoint.crash();
						Kit.sleep(3_000);
						endpoint.restart();
						kit.log(endpoint.id + " is back");
					});
					Kit.sleep(200);
					return;
				}
				endpoint.run(request);
				Set<String> claims = running.computeIfAbsent(endpoint.id, (id) -> ConcurrentHashMap.newKeySet());
				claims.add(request.id());
				Kit.sleep(110);
				claims.remove(request.id());
				connection.write(Kit.answer(200, request.id(), "done"));
			});
		}
		Kit.Host host = kit.host("front-ssa-a-1", "ssa-a");
		host.start();
		host.awaitReady();
		Kit.sleep(5_000);
		AtomicBoolean ended = new AtomicBoolean();
		AtomicInteger served = new AtomicInteger();
		List<Thread> callers = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			int caller = i;
			callers.add(Kit.thread(() -> {
				for (int number = 0; !ended.get(); number++) {
					String id = "claim-" + caller + "-" + number;
					try (Kit.Client client = new Kit.Client(kit, host.front)) {
						Kit.Message answer = client.request("PUT", Config.HOST, "/claims/" + id, id, 3_000, Config.KEY);
						if (answer != null && answer.status() == 200) {
							served.incrementAndGet();
						}
						else if (kit.runsOf(id) > 0) {
							lost.add(id);
						}
					}
					Kit.sleep(60);
				}
			}));
		}
		for (int number = 0; number < 14; number++) {
			try (Kit.Client client = new Kit.Client(kit, host.front)) {
				client.request("GET", Config.HOST, CRASHING_PATH, "crashing-" + number, 12_000, Config.KEY);
			}
			Kit.sleep(1_500);
		}
		ended.set(true);
		for (Thread caller : callers) {
			caller.join();
		}
		host.copyLog("crashing");
		kit.log(crashes.size() + " crashes; " + served.get() + " claims were served, " + lost.size()
				+ " were begun and have no result");
		endedByLateRetry.retainAll(lost);
		kit.log(endedByLateRetry.size() + " of these ran at an endpoint that a late retry crashed: " + endedByLateRetry);
		kit.log("BUDGET: " + lateRetries.size() + " retries reached endpoints later than " + CONTACT_MS
				+ " ms after the third crash; allowed " + MAX_RETRIES + ": " + lateRetries);
		return (served.get() == 0) ? Kit.CANNOT_RUN
				: (lateRetries.size() > MAX_RETRIES) ? Kit.BROKEN : Kit.HELD;
	}

}
