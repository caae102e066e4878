package org.plantainspur.standins;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A caller that sends non-idempotent requests from several threads to the hosts that
 * locate responses name. A request whose outcome is unknown is sent once more with the
 * same key; a request that was refused as not run is not resent.
 */
final class TestCaller implements AutoCloseable {

	private static final ObjectMapper mapper = new ObjectMapper();

	/**
	 * How long the caller uses a locate response; hosts permit 5 s, so the caller never
	 * uses an expired one.
	 */
	private static final long LOCATE_LIFETIME_NANOS = 3_000_000_000L;

	private final List<String> entryAddresses;

	private final List<Thread> threads = new ArrayList<>();

	private final ConcurrentLinkedQueue<SentRequest> sentRequests = new ConcurrentLinkedQueue<>();

	private final AtomicInteger requestNumber = new AtomicInteger();

	private volatile boolean stopped;

	TestCaller(List<String> entryAddresses, int threadCount, long pauseMillis) {
		this.entryAddresses = entryAddresses;
		for (int i = 0; i < threadCount; i++) {
			int firstRound = i;
			Thread thread = new Thread(() -> sendUntilStopped(firstRound, pauseMillis), "caller-" + i);
			thread.setDaemon(true);
			thread.start();
			this.threads.add(thread);
		}
	}

	private void sendUntilStopped(int firstRound, long pauseMillis) {
		HttpClient client = HttpClient.newBuilder()
			.version(HttpClient.Version.HTTP_1_1)
			.connectTimeout(Duration.ofSeconds(1))
			.build();
		int round = firstRound;
		LocateResult located = null;
		try {
			while (!this.stopped) {
				round++;
				if (located == null || System.nanoTime() - located.requestedNanos() > LOCATE_LIFETIME_NANOS) {
					located = locate(client, this.entryAddresses.get(round % this.entryAddresses.size()));
				}
				if (located != null) {
					sendRequest(client, located, round);
				}
				Thread.sleep(pauseMillis);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// Returns null if the response has no token, as from a host that is about to stop;
	// the next attempt asks another host.
	private static @Nullable LocateResult locate(HttpClient client, String entryAddress) throws InterruptedException {
		long requestedNanos = System.nanoTime();
		try {
			HttpResponse<String> response = client
				.send(HttpRequest.newBuilder(URI.create("http://" + entryAddress + "/.plantainspur/locate"))
					.timeout(Duration.ofSeconds(1))
					.header("X-Api-Key", TestFleet.KEY)
					.build(), HttpResponse.BodyHandlers.ofString());
			JsonNode body = mapper.readTree(response.body());
			List<String> addresses = new ArrayList<>();
			body.path("hosts").forEach((host) -> addresses.add(host.path("address").asText()));
			String token = body.path("dispatchToken").asText();
			return (addresses.isEmpty() || token.isEmpty()) ? null
					: new LocateResult(List.copyOf(addresses), token, requestedNanos);
		}
		catch (IOException ex) {
			return null;
		}
	}

	private void sendRequest(HttpClient client, LocateResult located, int round) throws InterruptedException {
		String key = located.token() + ".n" + this.requestNumber.incrementAndGet();
		Outcome firstOutcome = sendOnce(client, located.address(round), key);
		List<Outcome> outcomes = new ArrayList<>(List.of(firstOutcome));
		if (firstOutcome.run().equals("unknown")) {
			outcomes.add(sendOnce(client, located.address(round + 1), key));
		}
		this.sentRequests.add(new SentRequest(key, System.nanoTime(), List.copyOf(outcomes)));
	}

	private static Outcome sendOnce(HttpClient client, String address, String key) throws InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/booking"))
			.timeout(Duration.ofSeconds(2))
			.header("X-Api-Key", TestFleet.KEY)
			.header("Idempotency-Key", key)
			.POST(HttpRequest.BodyPublishers.ofString("{}"))
			.build();
		try {
			HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
			if (response.statusCode() == 200) {
				return new Outcome(address, "answered", "ran");
			}
			JsonNode problem = mapper.readTree(response.body());
			return new Outcome(address, response.statusCode() + " " + problem.path("code").asText(),
					problem.path("run").asText("unknown"));
		}
		catch (IOException ex) {
			return new Outcome(address, ex.toString(), "unknown");
		}
	}

	/**
	 * Returns the requests that ended at or after the given {@link System#nanoTime()}.
	 */
	List<SentRequest> endedSince(long nanos) {
		return this.sentRequests.stream().filter((request) -> request.endedNanos() - nanos >= 0).toList();
	}

	/**
	 * Returns the requests that ended at or after the given {@link System#nanoTime()} and
	 * whose first attempt was not answered with status 200.
	 */
	List<SentRequest> failedSince(long sinceNanos) {
		return endedSince(sinceNanos).stream()
			.filter((request) -> !request.outcomes().get(0).run().equals("ran"))
			.toList();
	}

	void assertRunAtMostOnce(Map<String, Integer> runs) {
		assertThat(this.sentRequests).isNotEmpty();
		for (SentRequest request : this.sentRequests) {
			int count = runs.getOrDefault(request.key(), 0);
			assertThat(count).as("runs of %s", request).isLessThanOrEqualTo(1);
			if (request.outcomes().stream().anyMatch((outcome) -> outcome.run().equals("not-run"))) {
				assertThat(count).as("runs of a request refused as not run: %s", request).isZero();
			}
			if (request.outcomes().stream().anyMatch((outcome) -> outcome.run().equals("ran"))) {
				assertThat(count).as("runs of an answered request: %s", request).isEqualTo(1);
			}
		}
	}

	@Override
	public void close() throws InterruptedException {
		this.stopped = true;
		for (Thread thread : this.threads) {
			thread.join(10_000);
		}
	}

	record SentRequest(String key, long endedNanos, List<Outcome> outcomes) {

		/** Returns the address that the request was sent to first. */
		String firstAddress() {
			return this.outcomes.get(0).address();
		}

	}

	record Outcome(String address, String description, String run) {
	}

	private record LocateResult(List<String> addresses, String token, long requestedNanos) {

		String address(int round) {
			return this.addresses.get(Math.floorMod(round, this.addresses.size()));
		}

	}

}
