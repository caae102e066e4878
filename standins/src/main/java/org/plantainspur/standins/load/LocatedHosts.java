package org.plantainspur.standins.load;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;

/**
 * Asks the entry hosts which hosts an account uses, spreads the requests over them, and
 * asks again before the answer's lifetime ends. An answer past its lifetime is not used.
 */
final class LocatedHosts implements Destinations {

	private static final String PATH = "/.plantainspur/locate";

	/** Asking again at this part of the lifetime leaves time for a second attempt. */
	private static final double REFRESH_AT = 0.7;

	private static final long RETRY_MILLIS = 200;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int OK = 200;

	private final ObjectMapper mapper = new ObjectMapper();

	private final List<String> entries;

	private final HttpSender sender;

	private final Map<LoadPlan.AccountShare, Located> located = new ConcurrentHashMap<>();

	private final AtomicLong turn = new AtomicLong();

	private final AtomicLong asked = new AtomicLong();

	private final AtomicLong failed = new AtomicLong();

	private final AtomicLong askedEarlyNanos = new AtomicLong(System.nanoTime());

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "locate");
		thread.setDaemon(true);
		return thread;
	});

	LocatedHosts(List<String> entries, List<LoadPlan.AccountShare> accounts, HttpSender sender) {
		this.entries = List.copyOf(entries);
		this.sender = sender;
		accounts.forEach((account) -> ask(account, true));
	}

	@Override
	public @Nullable Destination next(LoadPlan.AccountShare account) {
		Located known = this.located.get(account);
		if (known == null || known.expiresNanos() - System.nanoTime() <= 0) {
			return null;
		}
		String address = known.addresses().get((int) (this.turn.getAndIncrement() % known.addresses().size()));
		return new Destination(address, known.dispatchToken());
	}

	@Override
	public void notConnected(LoadPlan.AccountShare account) {
		long now = System.nanoTime();
		long earlier = this.askedEarlyNanos.get();
		// Many requests may fail at once; one question serves them all.
		if (now - earlier > RETRY_MILLIS * NANOS_PER_MILLI && this.askedEarlyNanos.compareAndSet(earlier, now)) {
			ask(account, false);
		}
	}

	long asked() {
		return this.asked.get();
	}

	long failed() {
		return this.failed.get();
	}

	private void ask(LoadPlan.AccountShare account, boolean repeat) {
		String entry = this.entries.get((int) (this.asked.getAndIncrement() % this.entries.size()));
		long sentNanos = System.nanoTime();
		this.sender.send(HttpSender.Message.get(entry, PATH, Map.of("X-Api-Key", account.key())), (reply) -> {
			long delayMillis = read(account, reply, sentNanos);
			if (repeat) {
				scheduleNext(account, delayMillis);
			}
		});
	}

	private void scheduleNext(LoadPlan.AccountShare account, long delayMillis) {
		if (!this.timer.isShutdown()) {
			this.timer.schedule(() -> ask(account, true), delayMillis, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Reads the answer. Its lifetime counts from before the request was sent.
	 * @param account the account
	 * @param reply the answer
	 * @param sentNanos when it was asked for
	 * @return when to ask again, in milliseconds from now
	 */
	private long read(LoadPlan.AccountShare account, HttpSender.Reply reply, long sentNanos) {
		if (reply instanceof HttpSender.Reply.Received received && received.status() == OK) {
			try {
				JsonNode answer = this.mapper.readTree(received.body());
				List<String> addresses = new ArrayList<>();
				answer.path("hosts").forEach((host) -> addresses.add(host.path("address").asText()));
				long lifetime = answer.path("lifetimeMillis").asLong();
				if (!addresses.isEmpty() && lifetime > 0) {
					this.located.put(account, new Located(List.copyOf(addresses), answer.path("dispatchToken").asText(),
							sentNanos + lifetime * NANOS_PER_MILLI));
					long elapsed = (System.nanoTime() - sentNanos) / NANOS_PER_MILLI;
					return Math.max(0, (long) (lifetime * REFRESH_AT) - elapsed);
				}
			}
			catch (IOException ex) {
				// Counted below as a failed attempt.
			}
		}
		this.failed.incrementAndGet();
		return RETRY_MILLIS;
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

	private record Located(List<String> addresses, String dispatchToken, long expiresNanos) {
	}

}
