package org.plantainspur.standins.load;

import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.adapters.settings.SettingsReader;
import org.plantainspur.core.finding.Findings;
import org.plantainspur.standins.TestHttpClient;
import org.plantainspur.standins.http.Response;
import org.plantainspur.standins.http.StandInServer;
import org.plantainspur.standins.target.TargetEmulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against a load tool that hides latency, resends requests that may not be resent,
 * or miscounts outcomes.
 */
class LoadToolTests {

	private TargetEmulator target;

	private String address;

	private TestHttpClient http;

	@BeforeEach
	void start() throws Exception {
		this.target = new TargetEmulator("booking-1", 0, 64);
		this.address = "127.0.0.1:" + this.target.port();
		this.http = new TestHttpClient(this.address);
	}

	@AfterEach
	void stop() {
		this.target.close();
	}

	private static LoadSettings settings(String... flags) {
		return SettingsReader.of("load", LoadSettings::new).read(flags, Map.of());
	}

	private LoadReport runDirect(String rate, String seconds, String nonIdempotent, String... extraFlags)
			throws Exception {
		String[] flags = { "--direct", this.address, "--accounts", "large:k1:3,small:k2:1", "--rate", rate, "--seconds",
				seconds, "--non-idempotent", nonIdempotent };
		String[] allFlags = java.util.Arrays.copyOf(flags, flags.length + extraFlags.length);
		System.arraycopy(extraFlags, 0, allFlags, flags.length, extraFlags.length);
		return LoadMain.run(settings(allFlags));
	}

	@Nested
	class OpenLoop {

		@Test
		void sendsAtTheGivenRateDividedByAccountShares() throws Exception {
			LoadReport report = runDirect("200", "2", "25");
			assertThat(report.total().sent()).isEqualTo(400);
			assertThat(report.total().answeredByStatus()).containsExactly(Map.entry("200", 400L));
			long large = report.rows()
				.stream()
				.filter((row) -> row.account().equals("large"))
				.mapToLong(LoadReport.Row::sent)
				.sum();
			assertThat(large).isBetween(260L, 340L);
			assertThat(report.seconds()).isBetween(1.9, 4.0);
		}

		@Test
		void excludesTheWarmUpFromTheReport() throws Exception {
			LoadReport report = runDirect("50", "1", "0", "--warm-up", "1");
			assertThat(report.total().sent()).isEqualTo(50);
			assertThat(LoadToolTests.this.http.getJson("/.control/runs").path("started").asInt()).isEqualTo(100);
			assertThat(report.seconds()).isBetween(0.9, 3.0);
		}

		@Test
		void countsTimeInTheQueueAsLatency() throws Exception {
			// The target serves 10 requests/s, half of the rate, so requests queue. A
			// closed loop would wait for each response, send fewer requests and so hide
			// the time in the queue (coordinated omission).
			try (TargetEmulator singleSlotTarget = new TargetEmulator("narrow", 0, 1)) {
				TestHttpClient singleSlotHttp = new TestHttpClient("127.0.0.1:" + singleSlotTarget.port());
				singleSlotHttp.put("/.control/behaviour",
						"{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 100}, \"queueMillis\": 60000}");
				LoadReport report = LoadMain.run(settings("--direct", "127.0.0.1:" + singleSlotTarget.port(),
						"--accounts", "a:k:1", "--rate", "20", "--seconds", "1", "--non-idempotent", "0"));
				assertThat(report.total().answered()).isEqualTo(20);
				assertThat(report.total().latencyMillis().p50()).isGreaterThan(400);
				assertThat(report.total().latencyMillis().max()).isGreaterThan(900);
			}
		}

	}

	@Nested
	class NonIdempotentRequest {

		@Test
		void isResentWithTheSameKeyWhenItsOutcomeIsUnknown() throws Exception {
			LoadToolTests.this.http.put("/.control/behaviour", "{\"gray\": [{\"kind\": \"reset\", \"fraction\": 1}]}");
			LoadReport report = runDirect("20", "1", "100", "--resend", "2");
			assertThat(report.total().sent()).isEqualTo(20);
			assertThat(report.total().resent()).isEqualTo(40);
			assertThat(report.total().errors()).containsExactly(Map.entry("connection-lost", 20L));
			assertThat(LoadToolTests.this.http.getJson("/.control/runs?minimumCount=3").path("runs")).hasSize(20);
		}

		@Test
		void isNotResentWhenTheTargetDidNotRunIt() throws Exception {
			LoadToolTests.this.http.put("/.control/behaviour", "{\"shedFraction\": 1}");
			LoadReport report = runDirect("20", "1", "100", "--resend", "2");
			assertThat(report.total().resent()).isZero();
			assertThat(report.total().refused()).containsExactly(Map.entry("target-refused/not-run", 20L));
		}

	}

	@Nested
	class RequestThatCannotConnect {

		@Test
		void isSentToTheNextHost() throws Exception {
			try (TargetEmulator closedTarget = new TargetEmulator("gone", 0, 1)) {
				closedTarget.close();
				LoadReport report = LoadMain.run(settings("--direct",
						"127.0.0.1:" + closedTarget.port() + "," + LoadToolTests.this.address, "--accounts", "a:k:1",
						"--rate", "5", "--seconds", "2", "--non-idempotent", "50", "--resend", "3"));
				assertThat(report.total().answered()).isEqualTo(10);
				assertThat(report.total().resent()).isPositive();
			}
		}

	}

	@Nested
	class Errors {

		@Test
		void areCountedByKind() throws Exception {
			LoadToolTests.this.http.put("/.control/behaviour",
					"{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 60000}}");
			LoadReport report = runDirect("20", "1", "0", "--timeout", "200");
			assertThat(report.total().errors()).containsExactly(Map.entry("timeout", 20L));
			LoadToolTests.this.target.close();
			assertThat(runDirect("20", "1", "0").total().errors()).containsExactly(Map.entry("not-connected", 20L));
		}

		@Test
		void includeTruncatedResponses() throws Exception {
			LoadToolTests.this.http.put("/.control/behaviour",
					"{\"gray\": [{\"kind\": \"truncate\", \"fraction\": 1}]}");
			LoadReport report = runDirect("20", "1", "0");
			assertThat(report.total().answered()).isZero();
			assertThat(report.total().errors()).containsExactly(Map.entry("connection-lost", 20L));
		}

	}

	@Nested
	class Locating {

		@Test
		void isRepeatedWithinTheLifetimeAndAddsTheDispatchTokenToKeys() throws Exception {
			try (StandInServer entry = new StandInServer("127.0.0.1", 0,
					(exchange) -> exchange.respond(Response.json(200,
							Map.of("hosts", new Object[] { Map.of("address", LoadToolTests.this.address) },
									"lifetimeMillis", 200, "dispatchToken", "token"))))) {
				LoadReport report = LoadMain.run(settings("--entries", "127.0.0.1:" + entry.port(), "--accounts",
						"a:k:1", "--rate", "20", "--seconds", "1", "--non-idempotent", "100"));
				assertThat(report.total().answered()).isEqualTo(20);
				assertThat(report.locates()).isGreaterThanOrEqualTo(4);
				assertThat(LoadToolTests.this.http.getJson("/.control/runs").path("runs").findValuesAsText("identity"))
					.hasSize(20)
					.allMatch((identity) -> identity.startsWith("token."));
			}
		}

		@Test
		void thatFailsStopsTheUseOfAnExpiredResult() throws Exception {
			java.util.concurrent.atomic.AtomicInteger locateRequests = new java.util.concurrent.atomic.AtomicInteger();
			try (StandInServer entry = new StandInServer("127.0.0.1", 0, (exchange) -> {
				if (locateRequests.getAndIncrement() == 0) {
					exchange.respond(Response.json(200,
							Map.of("hosts", new Object[] { Map.of("address", LoadToolTests.this.address) },
									"lifetimeMillis", 500, "dispatchToken", "token")));
				}
				else {
					exchange.reset();
				}
			})) {
				LoadReport report = LoadMain.run(settings("--entries", "127.0.0.1:" + entry.port(), "--accounts",
						"a:k:1", "--rate", "20", "--seconds", "2", "--non-idempotent", "0"));
				assertThat(report.total().answered()).isBetween(1L, 12L);
				assertThat(report.total().errors()).containsKey("no-located-host");
				assertThat(report.failedLocates()).isPositive();
			}
		}

	}

	@Nested
	class Refusals {

		@Test
		void areCountedByCodeAndRun() {
			byte[] problem = "{\"code\": \"rate-limited\", \"run\": \"not-run\"}".getBytes();
			assertThat(Outcome.of(new HttpSender.Reply.Received(429, "application/problem+json", false, problem)))
				.isEqualTo(new Outcome.Refused("rate-limited", "not-run"));
		}

	}

	@Nested
	class BadInput {

		@Test
		void isReportedWithEveryInvalidFlag() {
			assertThatExceptionOfType(Findings.InvalidInputException.class)
				.isThrownBy(() -> new LoadPlan(settings("--accounts", "a:secret:0")))
				.withMessageContaining("--entries")
				.withMessageContaining("--accounts")
				.withMessageNotContaining("secret");
		}

	}

}
