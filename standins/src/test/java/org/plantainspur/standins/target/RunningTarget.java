package org.plantainspur.standins.target;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.databind.JsonNode;

import org.plantainspur.standins.Calls;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A target with two slots and the calls of its tests.
 */
final class RunningTarget implements AutoCloseable {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final TargetEmulator target;

	private final Calls calls;

	RunningTarget() throws Exception {
		this.target = new TargetEmulator("booking-1", 0, 2);
		this.calls = new Calls("127.0.0.1:" + this.target.port());
	}

	Calls calls() {
		return this.calls;
	}

	void behave(String behaviour) throws Exception {
		this.calls.control("/.control/behaviour", behaviour);
	}

	HttpResponse<String> work() throws Exception {
		return this.calls.get("/booking/1");
	}

	CompletableFuture<HttpResponse<String>> workInBackground() {
		return CompletableFuture.supplyAsync(() -> {
			try {
				return work();
			}
			catch (Exception ex) {
				throw new CompletionException(ex);
			}
		});
	}

	JsonNode run(String identity) throws Exception {
		return this.calls.json("/.control/runs?identity=" + identity).path("runs").path(0);
	}

	void waitForLoad(int inFlight) throws Exception {
		long start = System.nanoTime();
		while (this.calls.json("/load").path("inFlight").asInt() != inFlight) {
			assertThat(since(start)).isLessThan(10_000);
			Thread.sleep(10);
		}
	}

	static long since(long start) {
		return (System.nanoTime() - start) / NANOS_PER_MILLI;
	}

	@Override
	public void close() {
		this.target.close();
	}

}
