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

import org.plantainspur.standins.TestHttpClient;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Starts a target emulator with two slots for each test and sends requests to it.
 */
final class TargetEmulatorExtension implements BeforeEachCallback, AfterEachCallback {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private @Nullable TargetEmulator target;

	private @Nullable TestHttpClient http;

	@Override
	public void beforeEach(ExtensionContext context) throws Exception {
		TargetEmulator emulator = new TargetEmulator("booking-1", 0, 2);
		this.target = emulator;
		this.http = new TestHttpClient("127.0.0.1:" + emulator.port());
	}

	@Override
	public void afterEach(ExtensionContext context) {
		Objects.requireNonNull(this.target).close();
	}

	TestHttpClient http() {
		return Objects.requireNonNull(this.http);
	}

	void setBehaviour(String behaviour) throws Exception {
		http().put("/.control/behaviour", behaviour);
	}

	HttpResponse<String> sendRequest() throws Exception {
		return http().get("/booking/1");
	}

	CompletableFuture<HttpResponse<String>> sendRequestAsync() {
		return CompletableFuture.supplyAsync(() -> {
			try {
				return sendRequest();
			}
			catch (Exception ex) {
				throw new CompletionException(ex);
			}
		});
	}

	JsonNode runRecord(String identity) throws Exception {
		return http().getJson("/.control/runs?identity=" + identity).path("runs").path(0);
	}

	void awaitInFlight(int inFlight) throws Exception {
		long startNanos = System.nanoTime();
		while (http().getJson("/load").path("inFlight").asInt() != inFlight) {
			assertThat(millisSince(startNanos)).isLessThan(10_000);
			Thread.sleep(10);
		}
	}

	static long millisSince(long startNanos) {
		return (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
	}

}
