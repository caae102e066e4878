package org.plantainspur.standins.target;

import java.net.http.HttpResponse;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.BeforeEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

import org.plantainspur.standins.Calls;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A target with two slots and the calls of its tests. Each test gets a new target.
 */
final class RunningTarget implements BeforeEachCallback, AfterEachCallback {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private @Nullable TargetEmulator target;

	private @Nullable Calls calls;

	@Override
	public void beforeEach(ExtensionContext context) throws Exception {
		TargetEmulator started = new TargetEmulator("booking-1", 0, 2);
		this.target = started;
		this.calls = new Calls("127.0.0.1:" + started.port());
	}

	@Override
	public void afterEach(ExtensionContext context) {
		Objects.requireNonNull(this.target).close();
	}

	Calls calls() {
		return Objects.requireNonNull(this.calls);
	}

	void behave(String behaviour) throws Exception {
		calls().control("/.control/behaviour", behaviour);
	}

	HttpResponse<String> work() throws Exception {
		return calls().get("/booking/1");
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
		return calls().json("/.control/runs?identity=" + identity).path("runs").path(0);
	}

	void waitForLoad(int inFlight) throws Exception {
		long start = System.nanoTime();
		while (calls().json("/load").path("inFlight").asInt() != inFlight) {
			assertThat(since(start)).isLessThan(10_000);
			Thread.sleep(10);
		}
	}

	static long since(long start) {
		return (System.nanoTime() - start) / NANOS_PER_MILLI;
	}

}
