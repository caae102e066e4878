package review;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An endpoint that was full sends a second copy of its decline, late, when the connection
 * has carried another request and then the repetition of the declined one.
 */
final class LateDecline {

	private static final int ROUNDS = 200;

	/** The largest share of its answers that an endpoint sends twice. */
	private static final double MAX_COPIED_SHARE = 0.03;

	/** How long after the answer the second copy is sent. */
	private static final long COPY_DELAY_MS = 150;

	private LateDecline() {
	}

	public static void main(String[] arguments) {
		Kit.main(arguments, LateDecline::run);
	}

	private static String decline(String id) {
		return "HTTP/1.1 503 Service Unavailable\r\nX-Plantainspur-Not-Executed: 1\r\n"
				+ "X-Plantainspur-Attempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n";
	}

	private static int run(Kit kit) throws Exception {
		Config.write(kit.store);
		AtomicBoolean full = new AtomicBoolean();
		AtomicInteger copies = new AtomicInteger();
		AtomicInteger answers = new AtomicInteger();
		Kit.Handler handler = (endpoint, connection, request) -> {
			int answered = endpoint.id.equals("i-1") ? answers.incrementAndGet() : 0;
			if (full.get()) {
				kit.log(endpoint.id + " is full, declines id " + request.id());
				connection.write(decline(request.id()));
				// Only one of the two endpoints sends second copies.
				if (Kit.TROUBLE && endpoint.id.equals("i-1") && copies.get() + 1 <= answered * MAX_COPIED_SHARE) {
					copies.incrementAndGet();
					Kit.thread(() -> {
						Kit.sleep(COPY_DELAY_MS);
						kit.log(endpoint.id + " sends a second copy of its decline of id " + request.id()
								+ " on connection " + connection.number);
						connection.write(decline(request.id()));
					});
				}
				return;
			}
			endpoint.run(request);
			// The repetition of a declined request takes as long as most requests.
			Kit.sleep(request.id().startsWith("a") ? 160 : 20);
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
			boolean momentFull = round % 10 == 9;
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
		kit.log(answers.get() + " answers of i-1, " + copies.get() + " of them sent twice");
		host.copyLog("Declined");
		return LeftoverBytes.TwiceCheck.check(kit);
	}

	private static void send(Kit kit, Kit.Client client, String id) {
		client.request("POST", Config.HOST, "/nc/" + id, id, 5_000, Config.KEY);
	}

}
