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
 * Asks the entry hosts which hosts an account should use, and selects these in
 * round-robin order. It asks again before the lifetime of the answer ends, and after a
 * failure to connect; an expired answer is not used.
 */
final class LocatedHostSelector implements DestinationSelector {

	private static final String PATH = "/.plantainspur/locate";

	/**
	 * The part of its lifetime after which an answer is refreshed. The rest of the
	 * lifetime leaves time for a second attempt.
	 */
	private static final double REFRESH_FRACTION = 0.7;

	/**
	 * The delay after a failed locate request, and the minimum interval between locate
	 * requests that follow a failure to connect.
	 */
	private static final long RETRY_INTERVAL_MILLIS = 200;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final int OK = 200;

	private final ObjectMapper mapper = new ObjectMapper();

	private final List<String> entryAddresses;

	private final HttpSender sender;

	private final Map<LoadPlan.AccountShare, LocateResult> locateResults = new ConcurrentHashMap<>();

	private final AtomicLong nextIndex = new AtomicLong();

	private final AtomicLong locateCount = new AtomicLong();

	private final AtomicLong failedLocateCount = new AtomicLong();

	private final AtomicLong lastUnscheduledLocateNanos = new AtomicLong(System.nanoTime());

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "locate");
		thread.setDaemon(true);
		return thread;
	});

	LocatedHostSelector(List<String> entryAddresses, List<LoadPlan.AccountShare> accounts, HttpSender sender) {
		this.entryAddresses = List.copyOf(entryAddresses);
		this.sender = sender;
		accounts.forEach((account) -> locate(account, true));
	}

	@Override
	public @Nullable Destination select(LoadPlan.AccountShare account) {
		LocateResult located = this.locateResults.get(account);
		if (located == null || located.expiresNanos() - System.nanoTime() <= 0) {
			return null;
		}
		String address = located.addresses().get((int) (this.nextIndex.getAndIncrement() % located.addresses().size()));
		return new Destination(address, located.dispatchToken());
	}

	@Override
	public void connectFailed(LoadPlan.AccountShare account) {
		long now = System.nanoTime();
		long lastNanos = this.lastUnscheduledLocateNanos.get();
		// Many requests may fail at once; one locate request is enough for all of them.
		if (now - lastNanos > RETRY_INTERVAL_MILLIS * NANOS_PER_MILLI
				&& this.lastUnscheduledLocateNanos.compareAndSet(lastNanos, now)) {
			locate(account, false);
		}
	}

	long locateCount() {
		return this.locateCount.get();
	}

	long failedLocateCount() {
		return this.failedLocateCount.get();
	}

	private void locate(LoadPlan.AccountShare account, boolean scheduleNext) {
		String entryAddress = this.entryAddresses
			.get((int) (this.locateCount.getAndIncrement() % this.entryAddresses.size()));
		long sentNanos = System.nanoTime();
		this.sender.send(HttpSender.OutgoingRequest.get(entryAddress, PATH, Map.of("X-Api-Key", account.key())),
				(reply) -> {
					long delayMillis = readLocateResponse(account, reply, sentNanos);
					if (scheduleNext) {
						scheduleNext(account, delayMillis);
					}
				});
	}

	private void scheduleNext(LoadPlan.AccountShare account, long delayMillis) {
		if (!this.timer.isShutdown()) {
			this.timer.schedule(() -> locate(account, true), delayMillis, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Reads the response to a locate request. Its lifetime counts from the time at which
	 * the request was sent, so that a slow response does not extend it.
	 * @param account the client account of the request
	 * @param reply the response or the failure
	 * @param sentNanos when the request was sent, as of {@link System#nanoTime()}
	 * @return the delay until the next locate request, in milliseconds
	 */
	private long readLocateResponse(LoadPlan.AccountShare account, HttpSender.Reply reply, long sentNanos) {
		if (reply instanceof HttpSender.Reply.Received received && received.status() == OK) {
			try {
				JsonNode body = this.mapper.readTree(received.body());
				List<String> addresses = new ArrayList<>();
				body.path("hosts").forEach((host) -> addresses.add(host.path("address").asText()));
				long lifetimeMillis = body.path("lifetimeMillis").asLong();
				String token = body.path("dispatchToken").asText();
				if (!addresses.isEmpty() && lifetimeMillis > 0) {
					LocateResult located = new LocateResult(List.copyOf(addresses), token,
							sentNanos + lifetimeMillis * NANOS_PER_MILLI);
					if (token.isEmpty()) {
						// The host is about to stop or has just started; the next request
						// asks another one.
						this.locateResults.merge(account, located, LocatedHostSelector::withToken);
						return RETRY_INTERVAL_MILLIS;
					}
					this.locateResults.put(account, located);
					long elapsedMillis = (System.nanoTime() - sentNanos) / NANOS_PER_MILLI;
					return Math.max(0, (long) (lifetimeMillis * REFRESH_FRACTION) - elapsedMillis);
				}
			}
			catch (IOException ex) {
				// A malformed response counts as a failed request below.
			}
		}
		this.failedLocateCount.incrementAndGet();
		return RETRY_INTERVAL_MILLIS;
	}

	private static LocateResult withToken(LocateResult known, LocateResult withoutToken) {
		return (known.expiresNanos() - System.nanoTime() > 0) ? known : withoutToken;
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

	private record LocateResult(List<String> addresses, String dispatchToken, long expiresNanos) {
	}

}
