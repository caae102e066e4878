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
 * A caller that follows locate answers and sends non-idempotent requests from several
 * threads. A request whose outcome is unknown is sent once more with the same key; one
 * that was refused as not run is not.
 */
final class TestCaller implements AutoCloseable {

	private static final ObjectMapper mapper = new ObjectMapper();

	/** Less than the 5 s for which a locate answer may be used. */
	private static final long LOCATE_NANOS = 3_000_000_000L;

	private final List<String> entries;

	private final List<Thread> threads = new ArrayList<>();

	private final ConcurrentLinkedQueue<Sent> sent = new ConcurrentLinkedQueue<>();

	private final AtomicInteger number = new AtomicInteger();

	private volatile boolean stopped;

	TestCaller(List<String> entries, int threadCount, long pauseMillis) {
		this.entries = entries;
		for (int i = 0; i < threadCount; i++) {
			int first = i;
			Thread thread = new Thread(() -> work(first, pauseMillis), "caller-" + i);
			thread.setDaemon(true);
			thread.start();
			this.threads.add(thread);
		}
	}

	private void work(int first, long pauseMillis) {
		HttpClient client = HttpClient.newBuilder()
			.version(HttpClient.Version.HTTP_1_1)
			.connectTimeout(Duration.ofSeconds(1))
			.build();
		int turn = first;
		Located located = null;
		try {
			while (!this.stopped) {
				turn++;
				if (located == null || System.nanoTime() - located.askedNanos() > LOCATE_NANOS) {
					located = locate(client, this.entries.get(turn % this.entries.size()));
				}
				if (located != null) {
					request(client, located, turn);
				}
				Thread.sleep(pauseMillis);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// A host that is about to stop gives no token; another one is asked then.
	private static @Nullable Located locate(HttpClient client, String entry) throws InterruptedException {
		long asked = System.nanoTime();
		try {
			HttpResponse<String> answer = client
				.send(HttpRequest.newBuilder(URI.create("http://" + entry + "/.plantainspur/locate"))
					.timeout(Duration.ofSeconds(1))
					.header("X-Api-Key", TestFleet.KEY)
					.build(), HttpResponse.BodyHandlers.ofString());
			JsonNode body = mapper.readTree(answer.body());
			List<String> addresses = new ArrayList<>();
			body.path("hosts").forEach((host) -> addresses.add(host.path("address").asText()));
			String token = body.path("dispatchToken").asText();
			return (addresses.isEmpty() || token.isEmpty()) ? null : new Located(List.copyOf(addresses), token, asked);
		}
		catch (IOException ex) {
			return null;
		}
	}

	private void request(HttpClient client, Located located, int turn) throws InterruptedException {
		String key = located.token() + ".n" + this.number.incrementAndGet();
		Outcome first = send(client, located.address(turn), key);
		List<Outcome> outcomes = new ArrayList<>(List.of(first));
		if (first.run().equals("unknown")) {
			outcomes.add(send(client, located.address(turn + 1), key));
		}
		this.sent.add(new Sent(key, System.nanoTime(), List.copyOf(outcomes)));
	}

	private static Outcome send(HttpClient client, String address, String key) throws InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/booking"))
			.timeout(Duration.ofSeconds(2))
			.header("X-Api-Key", TestFleet.KEY)
			.header("Idempotency-Key", key)
			.POST(HttpRequest.BodyPublishers.ofString("{}"))
			.build();
		try {
			HttpResponse<String> answer = client.send(request, HttpResponse.BodyHandlers.ofString());
			if (answer.statusCode() == 200) {
				return new Outcome(address, "answered", "ran");
			}
			JsonNode problem = mapper.readTree(answer.body());
			return new Outcome(address, answer.statusCode() + " " + problem.path("code").asText(),
					problem.path("run").asText("unknown"));
		}
		catch (IOException ex) {
			return new Outcome(address, ex.toString(), "unknown");
		}
	}

	/** Returns the requests that ended at or after an instant of the system's timer. */
	List<Sent> since(long nanos) {
		return this.sent.stream().filter((request) -> request.endedNanos() - nanos >= 0).toList();
	}

	/** Returns requests that had any other outcome than one answer. */
	List<Sent> failures(long sinceNanos) {
		return since(sinceNanos).stream().filter((request) -> !request.outcomes().get(0).run().equals("ran")).toList();
	}

	void assertRunAtMostOnce(Map<String, Integer> runs) {
		assertThat(this.sent).isNotEmpty();
		for (Sent request : this.sent) {
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

	record Sent(String key, long endedNanos, List<Outcome> outcomes) {

		/** Returns the address that the request was sent to first. */
		String first() {
			return this.outcomes.get(0).address();
		}

	}

	record Outcome(String address, String what, String run) {
	}

	private record Located(List<String> addresses, String token, long askedNanos) {

		String address(int turn) {
			return this.addresses.get(Math.floorMod(turn, this.addresses.size()));
		}

	}

}
