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

import org.plantainspur.standins.Calls;
import org.plantainspur.standins.Processes;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class TargetFaultTests {

	@RegisterExtension
	private final RunningTarget target = new RunningTarget();

	private RunningTarget target() {
		return this.target;
	}

	@Nested
	class Deadlines {

		@Test
		void endARunThatWouldTakeLonger() throws Exception {
			target().behave("{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 5000}}");
			long start = System.nanoTime();
			HttpResponse<String> answer = target().calls()
				.send("POST", "/booking", "{}", Map.of("X-Deadline-Ms", "100", "Idempotency-Key", "k1"), 10_000);
			assertThat(answer.statusCode()).isEqualTo(504);
			assertThat(answer.headers().firstValue("X-Not-Run")).isEmpty();
			assertThat(RunningTarget.since(start)).isLessThan(4000);
			assertThat(target().run("k1").path("cancelled").asInt()).isEqualTo(1);
		}

		@Test
		void thatHavePassedPreventTheRun() throws Exception {
			HttpResponse<String> answer = target().calls()
				.send("POST", "/booking", "{}", Map.of("X-Deadline-Ms", "0"), 10_000);
			assertThat(answer.headers().firstValue("X-Not-Run")).hasValue("true");
		}

		@Test
		void thatAreMalformedAreRefused() throws Exception {
			assertThat(
					target().calls().send("GET", "/booking", "", Map.of("X-Deadline-Ms", "soon"), 10_000).statusCode())
				.isEqualTo(400);
		}

	}

	@Nested
	class Cancellation {

		@Test
		void byAClosedConnectionFreesTheSlot() throws Exception {
			target().behave("{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 60000}}");
			assertThatExceptionOfType(HttpTimeoutException.class).isThrownBy(
					() -> target().calls().send("POST", "/booking", "{}", Map.of("Idempotency-Key", "k1"), 300));
			target().waitForLoad(0);
			assertThat(target().run("k1").path("count").asInt()).isEqualTo(1);
			assertThat(target().run("k1").path("cancelled").asInt()).isEqualTo(1);
		}

	}

	@Nested
	class GrayFailure {

		@Test
		void ofAFractionSparesTheRest() throws Exception {
			TargetFaultTests.this.target
				.behave("{\"gray\": [{\"kind\": \"fail\", \"fraction\": 0.5, \"status\": 500}]}");
			int failed = 0;
			for (int i = 0; i < 100; i++) {
				failed += (target().work().statusCode() == 500) ? 1 : 0;
			}
			assertThat(failed).isBetween(20, 80);
		}

		@Test
		void ofOneAccountSparesTheOthers() throws Exception {
			TargetFaultTests.this.target
				.behave("{\"gray\": [{\"kind\": \"fail\", \"fraction\": 1, \"status\": 500, \"account\": \"a\"}]}");
			assertThat(
					target().calls().send("GET", "/booking", "", Map.of("X-Client-Account", "a"), 10_000).statusCode())
				.isEqualTo(500);
			assertThat(target().work().statusCode()).isEqualTo(200);
		}

		@Test
		void canStall() throws Exception {
			TargetFaultTests.this.target
				.behave("{\"gray\": [{\"kind\": \"stall\", \"fraction\": 1, \"millis\": 300}]}");
			long start = System.nanoTime();
			target().work();
			assertThat(RunningTarget.since(start)).isGreaterThanOrEqualTo(300);
		}

		@Test
		void canSlowEveryRequest() throws Exception {
			target().behave("{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 30},"
					+ " \"gray\": [{\"kind\": \"slow\", \"factor\": 10}]}");
			long start = System.nanoTime();
			target().work();
			assertThat(RunningTarget.since(start)).isGreaterThanOrEqualTo(300);
		}

		@Test
		void canTruncateAnswers() throws Exception {
			target().behave("{\"gray\": [{\"kind\": \"truncate\", \"fraction\": 1}]}");
			assertThatExceptionOfType(IOException.class).isThrownBy(TargetFaultTests.this.target::work);
		}

		@Test
		void canResetConnections() throws Exception {
			target().behave("{\"gray\": [{\"kind\": \"reset\", \"fraction\": 1}]}");
			assertThatExceptionOfType(IOException.class).isThrownBy(TargetFaultTests.this.target::work);
		}

		@Test
		void canFlap() throws Exception {
			target().behave("{\"gray\": [{\"kind\": \"fail\", \"fraction\": 1, \"status\": 500}],"
					+ " \"flap\": {\"wellMillis\": 200, \"sickMillis\": 200}}");
			StringBuilder changes = new StringBuilder();
			long start = System.nanoTime();
			while (!changes.toString().contains("wsw")) {
				assertThat(RunningTarget.since(start)).isLessThan(10_000);
				String now = (target().work().statusCode() == 200) ? "w" : "s";
				if (!changes.toString().endsWith(now)) {
					changes.append(now);
				}
				Thread.sleep(10);
			}
			assertThat(RunningTarget.since(start)).isGreaterThanOrEqualTo(390);
		}

	}

	@Nested
	class Crash {

		@Test
		void resetsEveryConnectionAndLastsAWhile() throws Exception {
			target().behave("{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 60000},"
					+ " \"crash\": {\"onText\": \"poison\", \"downMillis\": 500, \"exit\": false}}");
			var bystander = target().workInBackground();
			target().waitForLoad(1);
			assertThatExceptionOfType(IOException.class).isThrownBy(
					() -> target().calls().send("POST", "/booking", "poison", Map.of("Idempotency-Key", "k1"), 10_000));
			assertThatExceptionOfType(CompletionException.class).isThrownBy(bystander::join)
				.withCauseInstanceOf(IOException.class);
			assertThatExceptionOfType(IOException.class).isThrownBy(() -> target().calls().get("/health"));
			long start = System.nanoTime();
			while (!answersChecks()) {
				assertThat(RunningTarget.since(start)).isLessThan(10_000);
				Thread.sleep(20);
			}
			assertThat(target().run("k1").path("count").asInt()).isEqualTo(1);
		}

		@Test
		void canEndTheProcess() throws Exception {
			try (Processes processes = new Processes()) {
				String address = "127.0.0.1:" + Processes.freePort();
				Process process = processes.start(TargetEmulator.class.getName(), "--id", "booking-2", "--address",
						address);
				Calls other = new Calls(address);
				other.control("/.control/behaviour",
						"{\"crash\": {\"onText\": \"poison\", \"downMillis\": 0, \"exit\": true}}");
				assertThatExceptionOfType(IOException.class).isThrownBy(() -> other.send("POST", "/booking", "poison"));
				assertThat(process.waitFor(10, TimeUnit.SECONDS)).isTrue();
				assertThat(process.exitValue()).isEqualTo(70);
			}
		}

		private boolean answersChecks() throws Exception {
			try {
				return target().calls().get("/health").statusCode() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

	}

}
