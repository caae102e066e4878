package org.plantainspur.standins.target;

import java.net.http.HttpResponse;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a target emulator whose slots, reports, draining or run records differ
 * from the behaviour that a test has set.
 */
class TargetEmulatorTests {

	@RegisterExtension
	private final TargetEmulatorExtension target = new TargetEmulatorExtension();

	private TargetEmulatorExtension target() {
		return this.target;
	}

	@Nested
	class Slots {

		@Test
		void thatAreAllTakenMakeItShedRequests() throws Exception {
			target().setBehaviour("{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 500}}");
			var first = target().sendRequestAsync();
			var second = target().sendRequestAsync();
			target().awaitInFlight(2);
			HttpResponse<String> third = target().sendRequest();
			assertThat(third.statusCode()).isEqualTo(503);
			assertThat(third.headers().firstValue("X-Not-Run")).hasValue("true");
			assertThat(first.join().statusCode()).isEqualTo(200);
			assertThat(second.join().statusCode()).isEqualTo(200);
			assertThat(target().http().getJson("/.control/runs").path("started").asInt()).isEqualTo(2);
		}

		@Test
		void areWaitedForWithinTheQueueTime() throws Exception {
			TargetEmulatorTests.this.target
				.setBehaviour("{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 200}, \"queueMillis\": 5000}");
			var first = target().sendRequestAsync();
			var second = target().sendRequestAsync();
			target().awaitInFlight(2);
			assertThat(target().sendRequest().statusCode()).isEqualTo(200);
			// The sum of two responses with status 200.
			assertThat(first.join().statusCode() + second.join().statusCode()).isEqualTo(400);
		}

	}

	@Nested
	class HealthAndLoadReports {

		@Test
		void areHealthyWhileRequestsFailByDefault() throws Exception {
			TargetEmulatorTests.this.target
				.setBehaviour("{\"gray\": [{\"kind\": \"fail\", \"fraction\": 1, \"status\": 500}]}");
			assertThat(target().sendRequest().statusCode()).isEqualTo(500);
			assertThat(target().http().get("/health").statusCode()).isEqualTo(200);
		}

		@Test
		void areUnhealthyWhenHonest() throws Exception {
			TargetEmulatorTests.this.target
				.setBehaviour("{\"gray\": [{\"kind\": \"fail\", \"fraction\": 1, \"status\": 500}],"
						+ " \"health\": {\"report\": \"honest\", \"lagMillis\": 0}}");
			assertThat(target().http().get("/health").statusCode()).isEqualTo(503);
		}

		@Test
		void ofHealthCanLag() throws Exception {
			TargetEmulatorTests.this.target
				.setBehaviour("{\"gray\": [{\"kind\": \"fail\", \"fraction\": 1, \"status\": 500}],"
						+ " \"health\": {\"report\": \"honest\", \"lagMillis\": 400}}");
			long startNanos = System.nanoTime();
			assertThat(target().http().get("/health").statusCode()).isEqualTo(200);
			while (target().http().get("/health").statusCode() == 200) {
				assertThat(TargetEmulatorExtension.millisSince(startNanos)).isLessThan(10_000);
				Thread.sleep(20);
			}
			assertThat(TargetEmulatorExtension.millisSince(startNanos)).isGreaterThanOrEqualTo(390);
		}

		@Test
		void ofLoadCanBeWrongOrLag() throws Exception {
			target().setBehaviour("{\"load\": {\"report\": \"full\", \"lagMillis\": 0}}");
			assertThat(target().http().getJson("/load").path("inFlight").asInt()).isEqualTo(2);
			target().setBehaviour("{\"load\": {\"report\": \"real\", \"lagMillis\": 300},"
					+ " \"serviceTime\": {\"kind\": \"fixed\", \"millis\": 1000}}");
			long startNanos = System.nanoTime();
			var running = target().sendRequestAsync();
			target().awaitInFlight(1);
			assertThat(TargetEmulatorExtension.millisSince(startNanos)).isGreaterThanOrEqualTo(300);
			running.join();
		}

	}

	@Nested
	class Draining {

		@Test
		void isAnnouncedOnResponsesBeforeRequestsAreRefused() throws Exception {
			target().setBehaviour("{\"drain\": {\"announceMillis\": 60000}}");
			HttpResponse<String> response = target().sendRequest();
			assertThat(response.statusCode()).isEqualTo(200);
			assertThat(response.headers().firstValue("X-Target-State")).hasValue("draining");
			assertThat(target().http().get("/health").headers().firstValue("X-Target-State")).hasValue("draining");
		}

		@Test
		void refusesRequestsAfterTheAnnouncement() throws Exception {
			target().setBehaviour("{\"drain\": {\"announceMillis\": 0}}");
			HttpResponse<String> response = target().sendRequest();
			assertThat(response.statusCode()).isEqualTo(503);
			assertThat(response.headers().firstValue("X-Not-Run")).hasValue("true");
			assertThat(response.headers().firstValue("X-Target-State")).hasValue("draining");
			assertThat(target().http().getJson("/.control/runs").path("started").asInt()).isZero();
		}

	}

	@Nested
	class ColdStart {

		@Test
		void makesTheFirstRequestsSlow() throws Exception {
			target().setBehaviour("{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 20},"
					+ " \"coldStart\": {\"millis\": 60000, \"factor\": 10}}");
			long startNanos = System.nanoTime();
			target().sendRequest();
			assertThat(TargetEmulatorExtension.millisSince(startNanos)).isGreaterThanOrEqualTo(200);
		}

	}

	@Nested
	class Shedding {

		@Test
		void refusesWithoutRunning() throws Exception {
			target().setBehaviour("{\"shedFraction\": 1}");
			assertThat(target().sendRequest().headers().firstValue("X-Not-Run")).hasValue("true");
			assertThat(target().http().getJson("/.control/runs").path("started").asInt()).isZero();
		}

	}

	@Nested
	class Runs {

		@Test
		void areCountedByIdentityInOrder() throws Exception {
			Map<String, String> first = Map.of("Idempotency-Key", "k1", "X-Request-Id", "r1", "X-Client-Account", "a");
			target().http().send("POST", "/booking", "{}", first, 10_000);
			target().http().send("GET", "/booking/2", "", Map.of("X-Request-Id", "r2"), 10_000);
			target().http().send("POST", "/booking", "{}", first, 10_000);
			JsonNode runs = target().http().getJson("/.control/runs").path("runs");
			assertThat(runs.findValuesAsText("identity")).containsExactly("k1", "r2");
			assertThat(runs.path(0).path("count").asInt()).isEqualTo(2);
			assertThat(runs.path(0).path("account").asText()).isEqualTo("a");
			assertThat(runs.path(1).path("order").asInt()).isEqualTo(2);
			assertThat(target().http().getJson("/.control/runs?minimumCount=2").path("runs")).hasSize(1);
			assertThat(target().http().getJson("/.emulator/runs").path("k1").asInt()).isEqualTo(2);
		}

	}

	@Nested
	class BadInput {

		@Test
		void isRefusedWithEveryInvalidField() throws Exception {
			HttpResponse<String> response = target().http()
				.send("PUT", "/.control/behaviour",
						"{\"shedFraction\": 2, \"gray\": [{\"kind\": \"fail\", \"fraction\": 0.5, \"status\": 200}],"
								+ " \"flap\": {\"wellMillis\": 0, \"sickMillis\": 1}}");
			assertThat(response.statusCode()).isEqualTo(400);
			assertThat(response.body()).contains("shedFraction").contains("gray[0].status").contains("flap.wellMillis");
		}

		@Test
		void ofAnUnknownKindIsRefused() throws Exception {
			HttpResponse<String> response = target().http()
				.send("PUT", "/.control/behaviour", "{\"gray\": [{\"kind\": \"explode\"}]}");
			assertThat(response.statusCode()).isEqualTo(400);
			assertThat(response.body()).contains("explode");
		}

	}

}
