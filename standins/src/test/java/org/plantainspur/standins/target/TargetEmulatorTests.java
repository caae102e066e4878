package org.plantainspur.standins.target;

import java.net.http.HttpResponse;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

import static org.assertj.core.api.Assertions.assertThat;

class TargetEmulatorTests {

	@RegisterExtension
	private final RunningTarget target = new RunningTarget();

	private RunningTarget target() {
		return this.target;
	}

	@Nested
	class Slots {

		@Test
		void thatAreAllTakenMakeItShedWithoutRunning() throws Exception {
			target().behave("{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 500}}");
			var first = target().workInBackground();
			var second = target().workInBackground();
			target().waitForLoad(2);
			HttpResponse<String> third = target().work();
			assertThat(third.statusCode()).isEqualTo(503);
			assertThat(third.headers().firstValue("X-Not-Run")).hasValue("true");
			assertThat(first.join().statusCode()).isEqualTo(200);
			assertThat(second.join().statusCode()).isEqualTo(200);
			assertThat(target().calls().json("/.control/runs").path("started").asInt()).isEqualTo(2);
		}

		@Test
		void areWaitedForWithinTheQueueTime() throws Exception {
			TargetEmulatorTests.this.target
				.behave("{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 200}, \"queueMillis\": 5000}");
			var first = target().workInBackground();
			var second = target().workInBackground();
			target().waitForLoad(2);
			assertThat(target().work().statusCode()).isEqualTo(200);
			assertThat(first.join().statusCode() + second.join().statusCode()).isEqualTo(400);
		}

	}

	@Nested
	class Checks {

		@Test
		void areAnsweredWellWhileRealWorkFails() throws Exception {
			TargetEmulatorTests.this.target
				.behave("{\"gray\": [{\"kind\": \"fail\", \"fraction\": 1, \"status\": 500}]}");
			assertThat(target().work().statusCode()).isEqualTo(500);
			assertThat(target().calls().get("/health").statusCode()).isEqualTo(200);
		}

		@Test
		void canTellTheTruth() throws Exception {
			TargetEmulatorTests.this.target
				.behave("{\"gray\": [{\"kind\": \"fail\", \"fraction\": 1, \"status\": 500}],"
						+ " \"health\": {\"report\": \"honest\", \"lagMillis\": 0}}");
			assertThat(target().calls().get("/health").statusCode()).isEqualTo(503);
		}

		@Test
		void canLag() throws Exception {
			TargetEmulatorTests.this.target
				.behave("{\"gray\": [{\"kind\": \"fail\", \"fraction\": 1, \"status\": 500}],"
						+ " \"health\": {\"report\": \"honest\", \"lagMillis\": 400}}");
			long start = System.nanoTime();
			assertThat(target().calls().get("/health").statusCode()).isEqualTo(200);
			while (target().calls().get("/health").statusCode() == 200) {
				assertThat(RunningTarget.since(start)).isLessThan(10_000);
				Thread.sleep(20);
			}
			assertThat(RunningTarget.since(start)).isGreaterThanOrEqualTo(390);
		}

		@Test
		void ofTheLoadCanMisleadAndLag() throws Exception {
			target().behave("{\"load\": {\"report\": \"full\", \"lagMillis\": 0}}");
			assertThat(target().calls().json("/load").path("inFlight").asInt()).isEqualTo(2);
			target().behave("{\"load\": {\"report\": \"real\", \"lagMillis\": 300},"
					+ " \"serviceTime\": {\"kind\": \"fixed\", \"millis\": 1000}}");
			long start = System.nanoTime();
			var running = target().workInBackground();
			target().waitForLoad(1);
			assertThat(RunningTarget.since(start)).isGreaterThanOrEqualTo(300);
			running.join();
		}

	}

	@Nested
	class Draining {

		@Test
		void isAnnouncedOnAnswersBeforeWorkIsRefused() throws Exception {
			target().behave("{\"drain\": {\"announceMillis\": 60000}}");
			HttpResponse<String> answer = target().work();
			assertThat(answer.statusCode()).isEqualTo(200);
			assertThat(answer.headers().firstValue("X-Target-State")).hasValue("draining");
			assertThat(target().calls().get("/health").headers().firstValue("X-Target-State")).hasValue("draining");
		}

		@Test
		void refusesWorkAfterTheAnnouncement() throws Exception {
			target().behave("{\"drain\": {\"announceMillis\": 0}}");
			HttpResponse<String> answer = target().work();
			assertThat(answer.statusCode()).isEqualTo(503);
			assertThat(answer.headers().firstValue("X-Not-Run")).hasValue("true");
			assertThat(answer.headers().firstValue("X-Target-State")).hasValue("draining");
			assertThat(target().calls().json("/.control/runs").path("started").asInt()).isZero();
		}

	}

	@Nested
	class ColdStart {

		@Test
		void makesTheFirstRequestsSlow() throws Exception {
			target().behave("{\"serviceTime\": {\"kind\": \"fixed\", \"millis\": 20},"
					+ " \"coldStart\": {\"millis\": 60000, \"factor\": 10}}");
			long start = System.nanoTime();
			target().work();
			assertThat(RunningTarget.since(start)).isGreaterThanOrEqualTo(200);
		}

	}

	@Nested
	class Shedding {

		@Test
		void refusesWithoutRunning() throws Exception {
			target().behave("{\"shedFraction\": 1}");
			assertThat(target().work().headers().firstValue("X-Not-Run")).hasValue("true");
			assertThat(target().calls().json("/.control/runs").path("started").asInt()).isZero();
		}

	}

	@Nested
	class Runs {

		@Test
		void areCountedByIdentityInOrder() throws Exception {
			Map<String, String> first = Map.of("Idempotency-Key", "k1", "X-Request-Id", "r1", "X-Client-Account", "a");
			target().calls().send("POST", "/booking", "{}", first, 10_000);
			target().calls().send("GET", "/booking/2", "", Map.of("X-Request-Id", "r2"), 10_000);
			target().calls().send("POST", "/booking", "{}", first, 10_000);
			JsonNode runs = target().calls().json("/.control/runs").path("runs");
			assertThat(runs.findValuesAsText("identity")).containsExactly("k1", "r2");
			assertThat(runs.path(0).path("count").asInt()).isEqualTo(2);
			assertThat(runs.path(0).path("account").asText()).isEqualTo("a");
			assertThat(runs.path(1).path("order").asInt()).isEqualTo(2);
			assertThat(target().calls().json("/.control/runs?minimumCount=2").path("runs")).hasSize(1);
			assertThat(target().calls().json("/.emulator/runs").path("k1").asInt()).isEqualTo(2);
		}

	}

	@Nested
	class BadInput {

		@Test
		void isRefusedWithEveryFinding() throws Exception {
			HttpResponse<String> answer = target().calls()
				.send("PUT", "/.control/behaviour",
						"{\"shedFraction\": 2, \"gray\": [{\"kind\": \"fail\", \"fraction\": 0.5, \"status\": 200}],"
								+ " \"flap\": {\"wellMillis\": 0, \"sickMillis\": 1}}");
			assertThat(answer.statusCode()).isEqualTo(400);
			assertThat(answer.body()).contains("shedFraction").contains("gray[0].status").contains("flap.wellMillis");
		}

		@Test
		void ofAnUnknownModeIsRefused() throws Exception {
			HttpResponse<String> answer = target().calls()
				.send("PUT", "/.control/behaviour", "{\"gray\": [{\"kind\": \"explode\"}]}");
			assertThat(answer.statusCode()).isEqualTo(400);
			assertThat(answer.body()).contains("explode");
		}

	}

}
