package review2;

import java.io.IOException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An endpoint of a service as PROTOCOL.md describes it: it lists itself in the store,
 * runs as many requests as it has slots, queues a few more, and rejects the rest as not
 * executed. A request may crash it; it is back after some seconds as a new incarnation
 * with a new id, and the entry of the old one goes after three ping intervals.
 */
final class Endpoint {

	private static final int QUEUE = 8;

	private static final long BACK_AFTER_MS = 3_000;

	private static final long ENTRY_GONE_MS = 4_500;

	private final Store store;

	private final String service;

	private final String zone;

	private final int slots;

	private final Work work;

	private final String id = "i-%08x".formatted(ThreadLocalRandom.current().nextInt());

	private final long born = System.currentTimeMillis();

	private final Semaphore freeSlots;

	private final AtomicInteger inside = new AtomicInteger();

	private final AtomicBoolean crashed = new AtomicBoolean();

	private final HttpServer server;

	Endpoint(Store store, String service, String zone, int slots, Work work) throws IOException {
		this.store = store;
		this.service = service;
		this.zone = zone;
		this.slots = slots;
		this.work = work;
		this.freeSlots = new Semaphore(slots, true);
		this.server = new HttpServer(0, this::handle);
		list("ready");
	}

	String id() {
		return this.id;
	}

	void list(String state) {
		this.store.put("servers", this.id,
				"{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\",\"coldLeftMs\":0,\"seq\":1,\"born\":%d}"
					.formatted(this.service, this.server.port(), this.zone, this.slots, state, this.born));
	}

	private HttpServer.Reply handle(HttpServer.Request request) throws IOException {
		if (!request.header("X-Plantainspur-Expect-Instance").isEmpty()
				&& !request.header("X-Plantainspur-Expect-Instance").equals(this.id)) {
			return HttpServer.Reply.of(421, "").with("X-Plantainspur-Instance-Id", this.id);
		}
		String attempt = request.header("X-Plantainspur-Attempt-Id");
		if (this.inside.incrementAndGet() > this.slots + QUEUE) {
			this.inside.decrementAndGet();
			return HttpServer.Reply.of(503, "")
				.with("X-Plantainspur-Not-Executed", "1")
				.with("X-Plantainspur-Attempt-Id", attempt);
		}
		try {
			this.freeSlots.acquire();
			try {
				return this.crashed.get() ? null : run(request, attempt);
			}
			finally {
				this.freeSlots.release();
			}
		}
		catch (InterruptedException ex) {
			return null;
		}
		finally {
			this.inside.decrementAndGet();
		}
	}

	private HttpServer.Reply run(HttpServer.Request request, String attempt) throws InterruptedException {
		long workMs = this.work.begin(this, request, attempt);
		if (workMs < 0) {
			TimeUnit.MILLISECONDS.sleep(-workMs);
			if (this.crashed.compareAndSet(false, true)) {
				crash();
			}
			return null;
		}
		TimeUnit.MILLISECONDS.sleep(workMs);
		if (this.crashed.get()) {
			return null;
		}
		return HttpServer.Reply.of(200, this.id + " ran " + attempt)
			.with("X-Plantainspur-Attempt-Id", attempt)
			.with("X-Plantainspur-Response-Signature", "signed")
			.with("X-Plantainspur-Server-Load", this.slots - this.freeSlots.availablePermits() + ",0," + this.slots)
			.with("Keep-Alive", "timeout=10");
	}

	private void crash() {
		this.server.crash();
		HttpServer.thread(() -> {
			try {
				TimeUnit.MILLISECONDS.sleep(BACK_AFTER_MS);
				this.work.back(new Endpoint(this.store, this.service, this.zone, this.slots, this.work));
				TimeUnit.MILLISECONDS.sleep(ENTRY_GONE_MS - BACK_AFTER_MS);
				this.store.remove("servers", this.id);
			}
			catch (IOException | InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

	void stop() {
		this.server.crash();
	}

	interface Work {

		/** Called when a request begins to run; returns its work in ms, negative if it crashes the endpoint then. */
		long begin(Endpoint endpoint, HttpServer.Request request, String attempt);

		/** Called when a new incarnation has started after a crash. */
		default void back(Endpoint endpoint) {
		}

	}

}
