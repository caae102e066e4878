package org.plantainspur.standins.target;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

import org.plantainspur.standins.ChildProcesses;
import org.plantainspur.standins.TestHttpClient;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.assertj.core.api.Assertions.catchThrowable;

/**
 * Guards against a target emulator that injects faults other than the ones that a test
 * has set.
 */
class TargetFaultTests {

	@RegisterExtension
	private final TargetEmulatorExtension target = new TargetEmulatorExtension();

	private TargetEmulatorExtension target() {
		return this.target;
	}

	@Nested
	class Deadlines {

		@Test
		void cancelARunThatWouldTakeLonger() throws Exception {
			target().setBehaviour("{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 5000}}");
			long startNanos = System.nanoTime();
			HttpResponse<String> response = target().http()
				.send("POST", "/booking", "{}", Map.of("X-Deadline-Ms", "100", "Idempotency-Key", "k1"), 10_000);
			assertThat(response.statusCode()).isEqualTo(504);
			assertThat(response.headers().firstValue("X-Not-Run")).isEmpty();
			assertThat(TargetEmulatorExtension.millisSince(startNanos)).isLessThan(4000);
			assertThat(target().runRecord("k1").path("cancelled").asInt()).isEqualTo(1);
		}

		@Test
		void thatHavePassedPreventTheRun() throws Exception {
			HttpResponse<String> response = target().http()
				.send("POST", "/booking", "{}", Map.of("X-Deadline-Ms", "0"), 10_000);
			assertThat(response.headers().firstValue("X-Not-Run")).hasValue("true");
		}

		@Test
		void thatAreMalformedAreRefused() throws Exception {
			assertThat(
					target().http().send("GET", "/booking", "", Map.of("X-Deadline-Ms", "soon"), 10_000).statusCode())
				.isEqualTo(400);
		}

	}

	@Nested
	class Cancellation {

		@Test
		void byAClosedConnectionFreesTheSlot() throws Exception {
			target().setBehaviour("{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 60000}}");
			assertThatExceptionOfType(HttpTimeoutException.class)
				.isThrownBy(() -> target().http().send("POST", "/booking", "{}", Map.of("Idempotency-Key", "k1"), 300));
			target().awaitInFlight(0);
			assertThat(target().runRecord("k1").path("count").asInt()).isEqualTo(1);
			assertThat(target().runRecord("k1").path("cancelled").asInt()).isEqualTo(1);
		}

	}

	@Nested
	class GrayFailure {

		@Test
		void ofAFractionDoesNotAffectTheRest() throws Exception {
			TargetFaultTests.this.target
				.setBehaviour("{\"gray\": [{\"kind\": \"fail\", \"fraction\": 0.5, \"status\": 500}]}");
			int failed = 0;
			for (int i = 0; i < 100; i++) {
				failed += (target().sendRequest().statusCode() == 500) ? 1 : 0;
			}
			assertThat(failed).isBetween(20, 80);
		}

		@Test
		void ofOneAccountDoesNotAffectTheOthers() throws Exception {
			TargetFaultTests.this.target.setBehaviour(
					"{\"gray\": [{\"kind\": \"fail\", \"fraction\": 1, \"status\": 500, \"account\": \"a\"}]}");
			assertThat(
					target().http().send("GET", "/booking", "", Map.of("X-Client-Account", "a"), 10_000).statusCode())
				.isEqualTo(500);
			assertThat(target().sendRequest().statusCode()).isEqualTo(200);
		}

		@Test
		void canStall() throws Exception {
			TargetFaultTests.this.target
				.setBehaviour("{\"gray\": [{\"kind\": \"stall\", \"fraction\": 1, \"millis\": 300}]}");
			long startNanos = System.nanoTime();
			target().sendRequest();
			assertThat(TargetEmulatorExtension.millisSince(startNanos)).isGreaterThanOrEqualTo(300);
		}

		@Test
		void canSlowEveryRequest() throws Exception {
			target().setBehaviour("{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 30},"
					+ " \"gray\": [{\"kind\": \"slow\", \"factor\": 10}]}");
			long startNanos = System.nanoTime();
			target().sendRequest();
			assertThat(TargetEmulatorExtension.millisSince(startNanos)).isGreaterThanOrEqualTo(300);
		}

		@Test
		void canTruncateResponses() throws Exception {
			target().setBehaviour("{\"gray\": [{\"kind\": \"truncate\", \"fraction\": 1}]}");
			assertThatExceptionOfType(IOException.class).isThrownBy(TargetFaultTests.this.target::sendRequest);
		}

		@Test
		void canResetConnections() throws Exception {
			target().setBehaviour("{\"gray\": [{\"kind\": \"reset\", \"fraction\": 1}]}");
			assertThatExceptionOfType(IOException.class).isThrownBy(TargetFaultTests.this.target::sendRequest);
		}

		@Test
		void canFlap() throws Exception {
			target().setBehaviour("{\"gray\": [{\"kind\": \"fail\", \"fraction\": 1, \"status\": 500}],"
					+ " \"flap\": {\"wellMillis\": 200, \"sickMillis\": 200}}");
			// One letter for each change of state: w while requests succeed, s while they
			// fail.
			StringBuilder observedStates = new StringBuilder();
			long startNanos = System.nanoTime();
			while (!observedStates.toString().contains("wsw")) {
				assertThat(TargetEmulatorExtension.millisSince(startNanos)).isLessThan(10_000);
				String state = (target().sendRequest().statusCode() == 200) ? "w" : "s";
				if (!observedStates.toString().endsWith(state)) {
					observedStates.append(state);
				}
				Thread.sleep(10);
			}
			assertThat(TargetEmulatorExtension.millisSince(startNanos)).isGreaterThanOrEqualTo(390);
		}

	}

	@Nested
	class Crash {

		@Test
		void resetsEveryConnectionAndLastsForItsDownTime() throws Exception {
			target().setBehaviour("{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 60000},"
					+ " \"crash\": {\"onText\": \"poison\", \"downMillis\": 500, \"exit\": false}}");
			var concurrentRequest = target().sendRequestAsync();
			target().awaitInFlight(1);
			assertThatExceptionOfType(IOException.class).isThrownBy(
					() -> target().http().send("POST", "/booking", "poison", Map.of("Idempotency-Key", "k1"), 10_000));
			assertThatExceptionOfType(CompletionException.class).isThrownBy(concurrentRequest::join)
				.withCauseInstanceOf(IOException.class);
			assertThatExceptionOfType(IOException.class).isThrownBy(() -> target().http().get("/health"));
			long startNanos = System.nanoTime();
			while (!isHealthy()) {
				assertThat(TargetEmulatorExtension.millisSince(startNanos)).isLessThan(10_000);
				Thread.sleep(20);
			}
			assertThat(target().runRecord("k1").path("count").asInt()).isEqualTo(1);
		}

		@Test
		void canEndTheProcess() throws Exception {
			try (ChildProcesses processes = new ChildProcesses()) {
				String address = "127.0.0.1:" + ChildProcesses.freePort();
				Process process = processes.start(TargetEmulator.class.getName(), "--id", "booking-2", "--address",
						address);
				TestHttpClient otherHttp = new TestHttpClient(address);
				otherHttp.put("/.control/behaviour",
						"{\"crash\": {\"onText\": \"poison\", \"downMillis\": 0, \"exit\": true}}");
				Throwable thrown = catchThrowable(() -> otherHttp.send("POST", "/booking", "poison"));
				assertThat(thrown).isInstanceOf(IOException.class);
				boolean ended = process.waitFor(10, TimeUnit.SECONDS);
				if (!ended) {
					ChildProcesses.printThreads(process);
				}
				assertThat(ended).as("ended after %s", thrown).isTrue();
				assertThat(process.exitValue()).isEqualTo(70);
			}
		}

		private boolean isHealthy() throws Exception {
			try {
				return target().http().get("/health").statusCode() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

	}

}
