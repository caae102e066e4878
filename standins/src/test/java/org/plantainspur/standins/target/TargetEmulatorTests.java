package org.plantainspur.standins.target;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.standins.Calls;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class TargetEmulatorTests {

	private static final long MILLI = 1_000_000;

	private TargetEmulator target;

	private Calls calls;

	@BeforeEach
	void start() throws Exception {
		this.target = new TargetEmulator("booking-1", 0, 2);
		this.calls = new Calls("127.0.0.1:" + this.target.port());
	}

	@AfterEach
	void stop() {
		this.target.close();
	}

	private void behave(String behaviour) throws Exception {
		this.calls.control("/.control/behaviour", behaviour);
	}

	private HttpResponse<String> work() throws Exception {
		return this.calls.get("/booking/1");
	}

	private CompletableFuture<HttpResponse<String>> workInBackground() {
		return CompletableFuture.supplyAsync(() -> {
			try {
				return work();
			}
			catch (Exception ex) {
				throw new CompletionException(ex);
			}
		});
	}

	private JsonNode run(String identity) throws Exception {
		return this.calls.json("/.control/runs?identity=" + identity).path("runs").path(0);
	}

	private static long since(long start) {
		return (System.nanoTime() - start) / MILLI;
	}

	private void waitForLoad(int inFlight) throws Exception {
		long start = System.nanoTime();
		while (this.calls.json("/load").path("inFlight").asInt() != inFlight) {
			assertThat(since(start)).isLessThan(10_000);
			Thread.sleep(10);
		}
	}

	@Nested
	class Slots {

		@Test
		void thatAreAllTakenMakeItShedWithoutRunning() throws Exception {
			behave("{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 500}}");
			var first = workInBackground();
			var second = workInBackground();
			waitForLoad(2);
			HttpResponse<String> third = work();
			assertThat(third.statusCode()).isEqualTo(503);
			assertThat(third.headers().firstValue("X-Not-Run")).hasValue("true");
			assertThat(first.join().statusCode()).isEqualTo(200);
			assertThat(second.join().statusCode()).isEqualTo(200);
			assertThat(TargetEmulatorTests.this.calls.json("/.control/runs").path("started").asInt()).isEqualTo(2);
		}

		@Test
		void areWaitedForWithinTheQueueTime() throws Exception {
			behave("{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 200}, \"queueMillis\": 5000}");
			var first = workInBackground();
			var second = workInBackground();
			waitForLoad(2);
			assertThat(work().statusCode()).isEqualTo(200);
			assertThat(first.join().statusCode() + second.join().statusCode()).isEqualTo(400);
		}

	}

	@Nested
	class Checks {

		@Test
		void areAnsweredWellWhileRealWorkFails() throws Exception {
			behave("{\"gray\": [{\"kind\": \"fail\", \"fraction\": 1, \"status\": 500}]}");
			assertThat(work().statusCode()).isEqualTo(500);
			assertThat(TargetEmulatorTests.this.calls.get("/health").statusCode()).isEqualTo(200);
		}

		@Test
		void canTellTheTruth() throws Exception {
			behave("{\"gray\": [{\"kind\": \"fail\", \"fraction\": 1, \"status\": 500}],"
					+ " \"health\": {\"report\": \"honest\", \"lagMillis\": 0}}");
			assertThat(TargetEmulatorTests.this.calls.get("/health").statusCode()).isEqualTo(503);
		}

		@Test
		void canLag() throws Exception {
			behave("{\"gray\": [{\"kind\": \"fail\", \"fraction\": 1, \"status\": 500}],"
					+ " \"health\": {\"report\": \"honest\", \"lagMillis\": 400}}");
			long start = System.nanoTime();
			assertThat(TargetEmulatorTests.this.calls.get("/health").statusCode()).isEqualTo(200);
			while (TargetEmulatorTests.this.calls.get("/health").statusCode() == 200) {
				assertThat(since(start)).isLessThan(10_000);
				Thread.sleep(20);
			}
			assertThat(since(start)).isGreaterThanOrEqualTo(390);
		}

		@Test
		void ofTheLoadCanMisleadAndLag() throws Exception {
			behave("{\"load\": {\"report\": \"full\", \"lagMillis\": 0}}");
			assertThat(TargetEmulatorTests.this.calls.json("/load").path("inFlight").asInt()).isEqualTo(2);
			behave("{\"load\": {\"report\": \"real\", \"lagMillis\": 300},"
					+ " \"serviceTime\": {\"kind\": \"fixed\", \"millis\": 1000}}");
			long start = System.nanoTime();
			var running = workInBackground();
			waitForLoad(1);
			assertThat(since(start)).isGreaterThanOrEqualTo(300);
			running.join();
		}

	}

	@Nested
	class Draining {

		@Test
		void isAnnouncedOnAnswersBeforeWorkIsRefused() throws Exception {
			behave("{\"drain\": {\"announceMillis\": 60000}}");
			HttpResponse<String> answer = work();
			assertThat(answer.statusCode()).isEqualTo(200);
			assertThat(answer.headers().firstValue("X-Target-State")).hasValue("draining");
			assertThat(TargetEmulatorTests.this.calls.get("/health").headers().firstValue("X-Target-State"))
				.hasValue("draining");
		}

		@Test
		void refusesWorkAfterTheAnnouncement() throws Exception {
			behave("{\"drain\": {\"announceMillis\": 0}}");
			HttpResponse<String> answer = work();
			assertThat(answer.statusCode()).isEqualTo(503);
			assertThat(answer.headers().firstValue("X-Not-Run")).hasValue("true");
			assertThat(answer.headers().firstValue("X-Target-State")).hasValue("draining");
			assertThat(TargetEmulatorTests.this.calls.json("/.control/runs").path("started").asInt()).isZero();
		}

	}

	@Nested
	class ColdStart {

		@Test
		void makesTheFirstRequestsSlow() throws Exception {
			behave("{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 20},"
					+ " \"coldStart\": {\"millis\": 60000, \"factor\": 10}}");
			long start = System.nanoTime();
			work();
			assertThat(since(start)).isGreaterThanOrEqualTo(200);
		}

	}

	@Nested
	class Shedding {

		@Test
		void refusesWithoutRunning() throws Exception {
			behave("{\"shedFraction\": 1}");
			assertThat(work().headers().firstValue("X-Not-Run")).hasValue("true");
			assertThat(TargetEmulatorTests.this.calls.json("/.control/runs").path("started").asInt()).isZero();
		}

	}

	@Nested
	class Deadlines {

		@Test
		void endARunThatWouldTakeLonger() throws Exception {
			behave("{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 5000}}");
			long start = System.nanoTime();
			HttpResponse<String> answer = TargetEmulatorTests.this.calls.send("POST", "/booking", "{}",
					Map.of("X-Deadline-Ms", "100", "Idempotency-Key", "k1"), 10_000);
			assertThat(answer.statusCode()).isEqualTo(504);
			assertThat(answer.headers().firstValue("X-Not-Run")).isEmpty();
			assertThat(since(start)).isLessThan(4000);
			assertThat(run("k1").path("cancelled").asInt()).isEqualTo(1);
		}

		@Test
		void thatHavePassedPreventTheRun() throws Exception {
			HttpResponse<String> answer = TargetEmulatorTests.this.calls.send("POST", "/booking", "{}",
					Map.of("X-Deadline-Ms", "0"), 10_000);
			assertThat(answer.headers().firstValue("X-Not-Run")).hasValue("true");
		}

		@Test
		void thatAreMalformedAreRefused() throws Exception {
			assertThat(
					TargetEmulatorTests.this.calls.send("GET", "/booking", "", Map.of("X-Deadline-Ms", "soon"), 10_000)
						.statusCode())
				.isEqualTo(400);
		}

	}

	@Nested
	class Cancellation {

		@Test
		void byAClosedConnectionFreesTheSlot() throws Exception {
			behave("{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 60000}}");
			assertThatExceptionOfType(HttpTimeoutException.class).isThrownBy(() -> TargetEmulatorTests.this.calls
				.send("POST", "/booking", "{}", Map.of("Idempotency-Key", "k1"), 300));
			waitForLoad(0);
			assertThat(run("k1").path("count").asInt()).isEqualTo(1);
			assertThat(run("k1").path("cancelled").asInt()).isEqualTo(1);
		}

	}

	@Nested
	class GrayFailure {

		@Test
		void ofAFractionSparesTheRest() throws Exception {
			behave("{\"gray\": [{\"kind\": \"fail\", \"fraction\": 0.5, \"status\": 500}]}");
			int failed = 0;
			for (int i = 0; i < 100; i++) {
				failed += (work().statusCode() == 500) ? 1 : 0;
			}
			assertThat(failed).isBetween(20, 80);
		}

		@Test
		void ofOneAccountSparesTheOthers() throws Exception {
			behave("{\"gray\": [{\"kind\": \"fail\", \"fraction\": 1, \"status\": 500, \"account\": \"a\"}]}");
			assertThat(
					TargetEmulatorTests.this.calls.send("GET", "/booking", "", Map.of("X-Client-Account", "a"), 10_000)
						.statusCode())
				.isEqualTo(500);
			assertThat(work().statusCode()).isEqualTo(200);
		}

		@Test
		void canStall() throws Exception {
			behave("{\"gray\": [{\"kind\": \"stall\", \"fraction\": 1, \"millis\": 300}]}");
			long start = System.nanoTime();
			work();
			assertThat(since(start)).isGreaterThanOrEqualTo(300);
		}

		@Test
		void canSlowEveryRequest() throws Exception {
			behave("{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 30},"
					+ " \"gray\": [{\"kind\": \"slow\", \"factor\": 10}]}");
			long start = System.nanoTime();
			work();
			assertThat(since(start)).isGreaterThanOrEqualTo(300);
		}

		@Test
		void canTruncateAnswers() throws Exception {
			behave("{\"gray\": [{\"kind\": \"truncate\", \"fraction\": 1}]}");
			assertThatExceptionOfType(IOException.class).isThrownBy(TargetEmulatorTests.this::work);
		}

		@Test
		void canResetConnections() throws Exception {
			behave("{\"gray\": [{\"kind\": \"reset\", \"fraction\": 1}]}");
			assertThatExceptionOfType(IOException.class).isThrownBy(TargetEmulatorTests.this::work);
		}

		@Test
		void canFlap() throws Exception {
			behave("{\"gray\": [{\"kind\": \"fail\", \"fraction\": 1, \"status\": 500}],"
					+ " \"flap\": {\"wellMillis\": 200, \"sickMillis\": 200}}");
			StringBuilder changes = new StringBuilder();
			long start = System.nanoTime();
			while (!changes.toString().contains("wsw")) {
				assertThat(since(start)).isLessThan(10_000);
				String now = (work().statusCode() == 200) ? "w" : "s";
				if (!changes.toString().endsWith(now)) {
					changes.append(now);
				}
				Thread.sleep(10);
			}
			assertThat(since(start)).isGreaterThanOrEqualTo(390);
		}

	}

	@Nested
	class Crash {

		@Test
		void resetsEveryConnectionAndLastsAWhile() throws Exception {
			behave("{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 60000},"
					+ " \"crash\": {\"onText\": \"poison\", \"downMillis\": 500, \"exit\": false}}");
			var bystander = workInBackground();
			waitForLoad(1);
			assertThatExceptionOfType(IOException.class).isThrownBy(() -> TargetEmulatorTests.this.calls.send("POST",
					"/booking", "poison", Map.of("Idempotency-Key", "k1"), 10_000));
			assertThatExceptionOfType(CompletionException.class).isThrownBy(bystander::join)
				.withCauseInstanceOf(IOException.class);
			assertThatExceptionOfType(IOException.class)
				.isThrownBy(() -> TargetEmulatorTests.this.calls.get("/health"));
			long start = System.nanoTime();
			while (!answersChecks()) {
				assertThat(since(start)).isLessThan(10_000);
				Thread.sleep(20);
			}
			assertThat(run("k1").path("count").asInt()).isEqualTo(1);
		}

		private boolean answersChecks() throws Exception {
			try {
				return TargetEmulatorTests.this.calls.get("/health").statusCode() == 200;
			}
			catch (IOException ex) {
				return false;
			}
		}

	}

	@Nested
	class Runs {

		@Test
		void areCountedByIdentityInOrder() throws Exception {
			Map<String, String> first = Map.of("Idempotency-Key", "k1", "X-Request-Id", "r1", "X-Client-Account", "a");
			TargetEmulatorTests.this.calls.send("POST", "/booking", "{}", first, 10_000);
			TargetEmulatorTests.this.calls.send("GET", "/booking/2", "", Map.of("X-Request-Id", "r2"), 10_000);
			TargetEmulatorTests.this.calls.send("POST", "/booking", "{}", first, 10_000);
			JsonNode runs = TargetEmulatorTests.this.calls.json("/.control/runs").path("runs");
			assertThat(runs.findValuesAsText("identity")).containsExactly("k1", "r2");
			assertThat(runs.path(0).path("count").asInt()).isEqualTo(2);
			assertThat(runs.path(0).path("account").asText()).isEqualTo("a");
			assertThat(runs.path(1).path("order").asInt()).isEqualTo(2);
			assertThat(TargetEmulatorTests.this.calls.json("/.control/runs?minimumCount=2").path("runs")).hasSize(1);
			assertThat(TargetEmulatorTests.this.calls.json("/.emulator/runs").path("k1").asInt()).isEqualTo(2);
		}

	}

	@Nested
	class BadInput {

		@Test
		void isRefusedWithEveryFinding() throws Exception {
			HttpResponse<String> answer = TargetEmulatorTests.this.calls.send("PUT", "/.control/behaviour",
					"{\"shedFraction\": 2, \"gray\": [{\"kind\": \"fail\", \"fraction\": 0.5, \"status\": 200}],"
							+ " \"flap\": {\"wellMillis\": 0, \"sickMillis\": 1}}");
			assertThat(answer.statusCode()).isEqualTo(400);
			assertThat(answer.body()).contains("shedFraction").contains("gray[0].status").contains("flap.wellMillis");
		}

		@Test
		void ofAnUnknownModeIsRefused() throws Exception {
			HttpResponse<String> answer = TargetEmulatorTests.this.calls.send("PUT", "/.control/behaviour",
					"{\"gray\": [{\"kind\": \"explode\"}]}");
			assertThat(answer.statusCode()).isEqualTo(400);
			assertThat(answer.body()).contains("explode");
		}

	}

}
