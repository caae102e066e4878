package org.plantainspur.standins.platform;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.standins.Calls;
import org.plantainspur.standins.http.ListenAddress;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class PlatformStandInTests {

	private static final String WRITE = "{\"conditions\": [{\"key\": \"a\", \"version\": 0}],"
			+ " \"writes\": [{\"key\": \"a\", \"value\": 1}]}";

	private PlatformStandIn platform;

	private Calls calls;

	@BeforeEach
	void start() throws Exception {
		this.platform = new PlatformStandIn(0);
		this.calls = new Calls("127.0.0.1:" + this.platform.port());
	}

	@AfterEach
	void stop() {
		this.platform.close();
	}

	private HttpResponse<String> faults(String body) throws Exception {
		return this.calls.send("PUT", "/.control/faults", body);
	}

	@Nested
	class Objects {

		@Test
		void keepTheirBytes() throws Exception {
			assertThat(PlatformStandInTests.this.calls.send("PUT", "/objects/snapshot/12", "content").statusCode())
				.isEqualTo(200);
			assertThat(PlatformStandInTests.this.calls.get("/objects/snapshot/12").body()).isEqualTo("content");
		}

		@Test
		void thatDoNotExistAreNotFound() throws Exception {
			assertThat(PlatformStandInTests.this.calls.get("/objects/none").statusCode()).isEqualTo(404);
		}

	}

	@Nested
	class HostList {

		private static final String LIST = "{\"hosts\": [{\"id\": \"t1\", \"kind\": \"target\","
				+ " \"address\": \"127.0.0.1:1\", \"state\": \"live\"}]}";

		@Test
		void showsAChangeOnlyAfterTheLag() throws Exception {
			faults("{\"hostListLagMillis\": 300}");
			long start = System.nanoTime();
			PlatformStandInTests.this.calls.send("PUT", "/hosts", LIST);
			assertThat(PlatformStandInTests.this.calls.json("/hosts").path("hosts")).isEmpty();
			while (PlatformStandInTests.this.calls.json("/hosts").path("hosts").isEmpty()) {
				assertThat(System.nanoTime() - start).isLessThan(10_000_000_000L);
				Thread.sleep(20);
			}
			assertThat(System.nanoTime() - start).isGreaterThanOrEqualTo(300_000_000L);
		}

		@Test
		void refusesAnUnknownState() throws Exception {
			HttpResponse<String> answer = PlatformStandInTests.this.calls.send("PUT", "/hosts",
					LIST.replace("live", "lving"));
			assertThat(answer.statusCode()).isEqualTo(400);
			assertThat(answer.body()).contains("hosts[0].state").contains("lving").contains("live or leaving");
		}

	}

	@Nested
	class Outage {

		@Test
		void ofKindClosedEndsConnectionsWithoutAnAnswerAndSparesControl() throws Exception {
			faults("{\"unavailable\": \"closed\"}");
			assertThatExceptionOfType(IOException.class)
				.isThrownBy(() -> PlatformStandInTests.this.calls.get("/table/row?key=a"));
			faults("{}");
			assertThat(PlatformStandInTests.this.calls.get("/table/row?key=a").statusCode()).isEqualTo(404);
		}

		@Test
		void ofKindSilentGivesNoAnswer() throws Exception {
			faults("{\"unavailable\": \"silent\"}");
			assertThatExceptionOfType(HttpTimeoutException.class).isThrownBy(
					() -> PlatformStandInTests.this.calls.send("POST", "/table/transact", WRITE, Map.of(), 300));
			faults("{}");
			assertThat(PlatformStandInTests.this.calls.get("/table/row?key=a").statusCode()).isEqualTo(404);
		}

		@Test
		void ofKindSilentEndsItsConnectionsWhenItIsOver() throws Exception {
			faults("{\"unavailable\": \"silent\"}");
			CompletableFuture<Integer> waiting = CompletableFuture.supplyAsync(() -> {
				try {
					return PlatformStandInTests.this.calls.send("POST", "/table/transact", WRITE).statusCode();
				}
				catch (Exception ex) {
					throw new CompletionException(ex);
				}
			});
			Thread.sleep(200);
			faults("{}");
			assertThatExceptionOfType(CompletionException.class).isThrownBy(waiting::join)
				.withCauseInstanceOf(IOException.class);
		}

		@Test
		void ofOnePathSparesTheOthers() throws Exception {
			faults("{\"dropped\": [{\"pathPrefix\": \"/table/row\"}]}");
			assertThatExceptionOfType(IOException.class)
				.isThrownBy(() -> PlatformStandInTests.this.calls.get("/table/row?key=a"));
			assertThat(PlatformStandInTests.this.calls.get("/hosts").statusCode()).isEqualTo(200);
		}

		@Test
		void ofOneListeningAddressSparesTheClientsOfAnother() throws Exception {
			try (PlatformStandIn two = new PlatformStandIn(
					List.of(new ListenAddress("127.0.0.1", 0), new ListenAddress("127.0.0.2", 0)))) {
				Calls first = new Calls("127.0.0.1:" + two.port(0));
				Calls second = new Calls("127.0.0.2:" + two.port(1));
				first.control("/.control/faults",
						"{\"dropped\": [{\"localAddress\": \"127.0.0.2:" + two.port(1) + "\", \"how\": \"silent\"}]}");
				assertThat(first.get("/hosts").statusCode()).isEqualTo(200);
				assertThatExceptionOfType(HttpTimeoutException.class)
					.isThrownBy(() -> second.send("GET", "/hosts", "", Map.of(), 300));
			}
		}

		@Test
		void ofAnotherCallerSparesThisOne() throws Exception {
			faults("{\"dropped\": [{\"callerAddress\": \"127.0.0.9\"}]}");
			assertThat(PlatformStandInTests.this.calls.get("/hosts").statusCode()).isEqualTo(200);
		}

	}

	@Nested
	class LostReply {

		@Test
		void leavesTheWriteInEffect() throws Exception {
			faults("{\"dropRepliesToWrites\": 1}");
			assertThatExceptionOfType(IOException.class)
				.isThrownBy(() -> PlatformStandInTests.this.calls.send("POST", "/table/transact", WRITE));
			assertThat(PlatformStandInTests.this.calls.json("/table/row?key=a").path("version").asLong()).isEqualTo(1);
			assertThat(PlatformStandInTests.this.calls.send("POST", "/table/transact", WRITE).statusCode())
				.isEqualTo(409);
		}

	}

	@Nested
	class Delay {

		@Test
		void holdsEveryAnswerBack() throws Exception {
			faults("{\"delayMillis\": 200}");
			long start = System.nanoTime();
			PlatformStandInTests.this.calls.get("/hosts");
			assertThat(System.nanoTime() - start).isGreaterThanOrEqualTo(200_000_000L);
		}

	}

	@Nested
	class Counters {

		@Test
		void countReadsAndWritesApart() throws Exception {
			PlatformStandInTests.this.calls.get("/table/row?key=a");
			PlatformStandInTests.this.calls.get("/hosts");
			PlatformStandInTests.this.calls.send("POST", "/table/transact", WRITE);
			var counters = PlatformStandInTests.this.calls.json("/.control/counters");
			assertThat(counters.path("reads").path("total").asLong()).isEqualTo(2);
			assertThat(counters.path("writes").path("total").asLong()).isEqualTo(1);
			assertThat(counters.path("writes").path("peakPerSecond").asLong()).isEqualTo(1);
		}

		@Test
		void keepThePeakOfASecond() {
			RateCounter counter = new RateCounter();
			counter.count(1_000_000_000L);
			counter.count(1_900_000_000L);
			counter.count(2_000_000_000L);
			assertThat(counter.rates(2_100_000_000L)).isEqualTo(new RateCounter.Rates(3, 1, 2));
		}

	}

	@Nested
	class BadInput {

		@Test
		void ofAMisspeltFaultIsRefused() throws Exception {
			HttpResponse<String> answer = faults("{\"unavailabel\": \"closed\"}");
			assertThat(answer.statusCode()).isEqualTo(400);
			assertThat(answer.body()).startsWith("{\"error\":").contains("unavailabel");
		}

		@Test
		void ofAnImpossibleFaultIsRefused() throws Exception {
			HttpResponse<String> answer = faults("{\"delayMillis\": -1, \"dropRepliesToWrites\": -2}");
			assertThat(answer.statusCode()).isEqualTo(400);
			assertThat(answer.body()).contains("delayMillis").contains("dropRepliesToWrites");
		}

		@Test
		void ofATransactionIsRefused() throws Exception {
			for (String body : new String[] { "", "[]", "{", "{\"writes\": []}", "{\"writes\": [{\"key\": \"a\"}]}",
					"{\"conditions\": [{\"key\": \"a\"}], \"writes\": [{\"key\": \"a\", \"value\": 1}]}" }) {
				assertThat(PlatformStandInTests.this.calls.send("POST", "/table/transact", body).statusCode()).as(body)
					.isEqualTo(400);
			}
		}

		@Test
		void ofAQueryIsRefused() throws Exception {
			assertThat(PlatformStandInTests.this.calls.get("/table/rows?limit=many").statusCode()).isEqualTo(400);
		}

	}

}
