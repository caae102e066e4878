package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An endpoint that is full declines a request and, in the same write, sends the beginning
 * of a second copy of that answer. The connection is then used for another request.
 */
final class LeftoverBytes {

	private static final int ROUNDS = 260;

	/** The largest share of its answers that an endpoint spoils. */
	private static final double MAX_SPOILED_SHARE = 0.03;

	private LeftoverBytes() {
	}

	public static void main(String[] arguments) {
		Kit.main(arguments, LeftoverBytes::run);
	}

	private static String decline(String id) {
		return "HTTP/1.1 503 Service Unavailable\r\nX-Plantainspur-Not-Executed: 1\r\n"
				+ "X-Plantainspur-Server-Load: 2,8,2\r\nX-Plantainspur-Attempt-Id: " + id
				+ "\r\nContent-Length: 0\r\n\r\n";
	}

	private static int run(Kit kit) throws Exception {
		Config.write(kit.store);
		AtomicBoolean full = new AtomicBoolean();
		AtomicInteger spoiled = new AtomicInteger();
		AtomicInteger answers = new AtomicInteger();
		Kit.Handler handler = (endpoint, connection, request) -> {
			int answered = endpoint.id.equals("i-1") ? answers.incrementAndGet() : 0;
			if (full.get()) {
				String answer = decline(request.id());
				// Only one of the two endpoints spoils answers.
				boolean spoil = Kit.TROUBLE && endpoint.id.equals("i-1")
						&& spoiled.get() + 1 <= answered * MAX_SPOILED_SHARE;
				if (spoil) {
					spoiled.incrementAndGet();
					String copy = answer.substring(0, answer.indexOf("\r\nX-Plantainspur-Attempt-Id"));
					kit.log(endpoint.id + " is full, declines id " + request.id() + " on connection "
							+ connection.number + " and sends " + copy.length() + " bytes of a second copy");
					connection.write(answer + copy);
				}
				else {
					kit.log(endpoint.id + " is full, declines id " + request.id());
					connection.write(answer);
				}
				return;
			}
			endpoint.run(request);
			Kit.sleep(20);
			connection.write(Kit.answer(200, request.id(), "done " + request.id()));
		};
		kit.endpoint("conforme", "i-1", 2, handler);
		kit.endpoint("conforme", "i-2", 2, handler);
		Kit.Host host = kit.host("front-ssa-a-1", "ssa-a");
		host.start();
		host.awaitReady();
		Kit.sleep(4_500);
		List<Kit.Client> clients = new ArrayList<>();
		for (int i = 0; i < 5; i++) {
			clients.add(new Kit.Client(kit, host.front));
		}
		for (int round = 0; round < ROUNDS; round++) {
			// Now and then the endpoints are full for a moment.
			boolean momentFull = round % 8 == 7;
			int number = round;
			full.set(momentFull);
			Thread first = Kit.thread(() -> send(kit, clients.get(0), "a" + number));
			if (momentFull) {
				Kit.sleep(25);
				full.set(false);
			}
			List<Thread> others = new ArrayList<>();
			for (int i = 1; i < 5; i++) {
				int client = i;
				others.add(Kit.thread(() -> send(kit, clients.get(client), "b" + client + "-" + number)));
			}
			first.join();
			for (Thread other : others) {
				other.join();
			}
			Kit.sleep(80);
		}
		kit.log(answers.get() + " answers of i-1, " + spoiled.get() + " of them spoiled");
		host.copyLog("Declined");
		kit.log("besides, MIXED: " + successesForFailures(kit, clients)
				+ " failures of an endpoint reached the client as a success");
		return TwiceCheck.check(kit);
	}

	/**
	 * Sends claims to two endpoints, one of which adds the beginning of a second copy to
	 * at most 3 in 100 of its answers, and answers the next request on that connection with
	 * a failure. Returns how many of these failures reached a client as a success.
	 */
	private static int successesForFailures(Kit kit, List<Kit.Client> clients) throws Exception {
		AtomicInteger answers = new AtomicInteger();
		AtomicInteger spoiled = new AtomicInteger();
		Set<Integer> spoiledConnections = ConcurrentHashMap.newKeySet();
		kit.endpoint("selo", "i-3", 2, (endpoint, connection, request) -> {
			endpoint.run(request);
			Kit.sleep(20);
			boolean spoil = Kit.TROUBLE && spoiled.get() + 1 <= answers.incrementAndGet() * MAX_SPOILED_SHARE;
			if (spoiledConnections.remove(connection.number)) {
				kit.log(endpoint.id + " answers 500 to id " + request.id() + " on connection " + connection.number);
				connection.write(Kit.answer(500, request.id(), "failed"));
			}
			else if (spoil) {
				spoiled.incrementAndGet();
				spoiledConnections.add(connection.number);
				String answer = "HTTP/1.1 200 OK\r\nDate: Sat, 05 Dec 2026 17:00:00 GMT\r\n"
						+ Kit.answer(200, request.id(), "done").substring("HTTP/1.1 200 OK\r\n".length());
				kit.log(endpoint.id + " sends 40 bytes of a second copy of its answer to id " + request.id()
						+ " on connection " + connection.number);
				connection.write(answer + answer.substring(0, 40));
			}
			else {
				connection.write(Kit.answer(200, request.id(), "done"));
			}
		});
		kit.endpoint("selo", "i-4", 2, (endpoint, connection, request) -> {
			endpoint.run(request);
			Kit.sleep(20);
			connection.write(Kit.answer(200, request.id(), "done"));
		});
		Kit.sleep(1_500);
		AtomicInteger mixed = new AtomicInteger();
		List<Thread> callers = new ArrayList<>();
		for (int i = 0; i < clients.size(); i++) {
			int caller = i;
			callers.add(Kit.thread(() -> {
				for (int number = 0; number < 120; number++) {
					String id = "c" + caller + "-" + number;
					Kit.Message response = clients.get(caller)
						.request("PUT", Config.HOST, "/claims/" + id, id, 3_000, Config.KEY);
					String signature = (response != null) ? response.header("X-Plantainspur-Response-Signature") : "";
					if (response != null && response.status() == 200 && signature.endsWith(".500")) {
						kit.log("MIXED: id " + id + " got " + response.startLine() + " with the signature " + signature);
						mixed.incrementAndGet();
					}
					Kit.sleep(30);
				}
			}));
		}
		for (Thread caller : callers) {
			caller.join();
		}
		kit.log(answers.get() + " answers of i-3, " + spoiled.get() + " of them spoiled");
		return mixed.get();
	}

	private static void send(Kit kit, Kit.Client client, String id) {
		client.request("POST", Config.HOST, "/nc/" + id, id, 5_000, Config.KEY);
	}

	/** The rule TWICE: a request that isn't idempotent runs more than once. */
	static final class TwiceCheck {

		private TwiceCheck() {
		}

		static int check(Kit kit) {
			int twice = 0;
			for (Map.Entry<String, AtomicInteger> run : kit.runs.entrySet()) {
				if (run.getValue().get() > 1) {
					kit.log("TWICE: " + kit.sent.get(run.getKey()) + " id " + run.getKey() + " ran "
							+ run.getValue().get() + " times");
					twice++;
				}
			}
			long refused = kit.runs.keySet().stream().filter((id) -> kit.answered.getOrDefault(id, 0) == 503).count();
			kit.log("besides, REFUSED: " + refused + " requests were answered 503 and have run");
			kit.log(kit.runs.size() + " requests ran, " + twice + " of them more than once");
			return kit.runs.isEmpty() ? Kit.CANNOT_RUN : (twice > 0) ? Kit.BROKEN : Kit.HELD;
		}

	}

}
