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

import org.plantainspur.standins.TestHttpClient;
import org.plantainspur.standins.http.ListenAddress;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against a platform stand-in that deviates from its protocol or applies faults to
 * other requests than the chosen ones.
 */
class PlatformStandInTests {

	private static final String CONDITIONAL_WRITE = "{\"conditions\": [{\"key\": \"a\", \"version\": 0}],"
			+ " \"writes\": [{\"key\": \"a\", \"value\": 1}]}";

	private PlatformStandIn platform;

	private TestHttpClient http;

	@BeforeEach
	void start() throws Exception {
		this.platform = new PlatformStandIn(0);
		this.http = new TestHttpClient("127.0.0.1:" + this.platform.port());
	}

	@AfterEach
	void stop() {
		this.platform.close();
	}

	private HttpResponse<String> putFaults(String body) throws Exception {
		return this.http.send("PUT", "/.control/faults", body);
	}

	@Nested
	class Objects {

		@Test
		void areReturnedAsWritten() throws Exception {
			assertThat(PlatformStandInTests.this.http.send("PUT", "/objects/snapshot/12", "content").statusCode())
				.isEqualTo(200);
			assertThat(PlatformStandInTests.this.http.get("/objects/snapshot/12").body()).isEqualTo("content");
		}

		@Test
		void thatDoNotExistAreNotFound() throws Exception {
			assertThat(PlatformStandInTests.this.http.get("/objects/none").statusCode()).isEqualTo(404);
		}

	}

	@Nested
	class HostList {

		private static final String LIST = "{\"hosts\": [{\"id\": \"t1\", \"kind\": \"target\","
				+ " \"address\": \"127.0.0.1:1\", \"state\": \"live\"}]}";

		@Test
		void showsAChangeOnlyAfterTheLag() throws Exception {
			putFaults("{\"hostListLagMillis\": 300}");
			long start = System.nanoTime();
			PlatformStandInTests.this.http.send("PUT", "/hosts", LIST);
			assertThat(PlatformStandInTests.this.http.getJson("/hosts").path("hosts")).isEmpty();
			while (PlatformStandInTests.this.http.getJson("/hosts").path("hosts").isEmpty()) {
				assertThat(System.nanoTime() - start).isLessThan(10_000_000_000L);
				Thread.sleep(20);
			}
			assertThat(System.nanoTime() - start).isGreaterThanOrEqualTo(300_000_000L);
		}

		@Test
		void refusesAnUnknownState() throws Exception {
			HttpResponse<String> response = PlatformStandInTests.this.http.send("PUT", "/hosts",
					LIST.replace("live", "lving"));
			assertThat(response.statusCode()).isEqualTo(400);
			assertThat(response.body()).contains("hosts[0].state").contains("lving").contains("live or leaving");
		}

	}

	@Nested
	class Outage {

		@Test
		void ofKindClosedClosesConnectionsExceptForControl() throws Exception {
			putFaults("{\"unavailable\": \"closed\"}");
			assertThatExceptionOfType(IOException.class)
				.isThrownBy(() -> PlatformStandInTests.this.http.get("/table/row?key=a"));
			putFaults("{}");
			assertThat(PlatformStandInTests.this.http.get("/table/row?key=a").statusCode()).isEqualTo(404);
		}

		@Test
		void ofKindSilentSendsNoResponse() throws Exception {
			putFaults("{\"unavailable\": \"silent\"}");
			assertThatExceptionOfType(HttpTimeoutException.class).isThrownBy(() -> PlatformStandInTests.this.http
				.send("POST", "/table/transact", CONDITIONAL_WRITE, Map.of(), 300));
			putFaults("{}");
			assertThat(PlatformStandInTests.this.http.get("/table/row?key=a").statusCode()).isEqualTo(404);
		}

		@Test
		void ofKindSilentClosesItsConnectionsWhenItEnds() throws Exception {
			putFaults("{\"unavailable\": \"silent\"}");
			CompletableFuture<Integer> pendingStatus = CompletableFuture.supplyAsync(() -> {
				try {
					return PlatformStandInTests.this.http.send("POST", "/table/transact", CONDITIONAL_WRITE)
						.statusCode();
				}
				catch (Exception ex) {
					throw new CompletionException(ex);
				}
			});
			Thread.sleep(200);
			putFaults("{}");
			assertThatExceptionOfType(CompletionException.class).isThrownBy(pendingStatus::join)
				.withCauseInstanceOf(IOException.class);
		}

		@Test
		void ofOnePathDoesNotAffectOtherPaths() throws Exception {
			putFaults("{\"dropped\": [{\"pathPrefix\": \"/table/row\"}]}");
			assertThatExceptionOfType(IOException.class)
				.isThrownBy(() -> PlatformStandInTests.this.http.get("/table/row?key=a"));
			assertThat(PlatformStandInTests.this.http.get("/hosts").statusCode()).isEqualTo(200);
		}

		@Test
		void ofOneListeningAddressDoesNotAffectAnother() throws Exception {
			try (PlatformStandIn twoAddresses = new PlatformStandIn(
					List.of(new ListenAddress("127.0.0.1", 0), new ListenAddress("127.0.0.2", 0)))) {
				TestHttpClient first = new TestHttpClient("127.0.0.1:" + twoAddresses.port(0));
				TestHttpClient second = new TestHttpClient("127.0.0.2:" + twoAddresses.port(1));
				first.put("/.control/faults", "{\"dropped\": [{\"localAddress\": \"127.0.0.2:" + twoAddresses.port(1)
						+ "\", \"how\": \"silent\"}]}");
				assertThat(first.get("/hosts").statusCode()).isEqualTo(200);
				assertThatExceptionOfType(HttpTimeoutException.class)
					.isThrownBy(() -> second.send("GET", "/hosts", "", Map.of(), 300));
			}
		}

		@Test
		void ofAnotherCallerDoesNotAffectThisOne() throws Exception {
			putFaults("{\"dropped\": [{\"callerAddress\": \"127.0.0.9\"}]}");
			assertThat(PlatformStandInTests.this.http.get("/hosts").statusCode()).isEqualTo(200);
		}

	}

	@Nested
	class LostReply {

		@Test
		void doesNotUndoTheWrite() throws Exception {
			putFaults("{\"dropRepliesToWrites\": 1}");
			assertThatExceptionOfType(IOException.class)
				.isThrownBy(() -> PlatformStandInTests.this.http.send("POST", "/table/transact", CONDITIONAL_WRITE));
			assertThat(PlatformStandInTests.this.http.getJson("/table/row?key=a").path("version").asLong())
				.isEqualTo(1);
			assertThat(PlatformStandInTests.this.http.send("POST", "/table/transact", CONDITIONAL_WRITE).statusCode())
				.isEqualTo(409);
		}

	}

	@Nested
	class Delay {

		@Test
		void appliesToEveryResponse() throws Exception {
			putFaults("{\"delayMillis\": 200}");
			long start = System.nanoTime();
			PlatformStandInTests.this.http.get("/hosts");
			assertThat(System.nanoTime() - start).isGreaterThanOrEqualTo(200_000_000L);
		}

	}

	@Nested
	class Counters {

		@Test
		void countReadsAndWritesSeparately() throws Exception {
			PlatformStandInTests.this.http.get("/table/row?key=a");
			PlatformStandInTests.this.http.get("/hosts");
			PlatformStandInTests.this.http.send("POST", "/table/transact", CONDITIONAL_WRITE);
			var counters = PlatformStandInTests.this.http.getJson("/.control/counters");
			assertThat(counters.path("reads").path("total").asLong()).isEqualTo(2);
			assertThat(counters.path("writes").path("total").asLong()).isEqualTo(1);
			assertThat(counters.path("writes").path("peakPerSecond").asLong()).isEqualTo(1);
		}

		@Test
		void keepThePeakRatePerSecond() {
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
		void ofAnUnknownFaultIsRefused() throws Exception {
			HttpResponse<String> response = putFaults("{\"unavailabel\": \"closed\"}");
			assertThat(response.statusCode()).isEqualTo(400);
			assertThat(response.body()).startsWith("{\"error\":").contains("unavailabel");
		}

		@Test
		void ofANegativeFaultValueIsRefused() throws Exception {
			HttpResponse<String> response = putFaults("{\"delayMillis\": -1, \"dropRepliesToWrites\": -2}");
			assertThat(response.statusCode()).isEqualTo(400);
			assertThat(response.body()).contains("delayMillis").contains("dropRepliesToWrites");
		}

		@Test
		void ofATransactionIsRefused() throws Exception {
			for (String body : new String[] { "", "[]", "{", "{\"writes\": []}", "{\"writes\": [{\"key\": \"a\"}]}",
					"{\"conditions\": [{\"key\": \"a\"}], \"writes\": [{\"key\": \"a\", \"value\": 1}]}" }) {
				assertThat(PlatformStandInTests.this.http.send("POST", "/table/transact", body).statusCode()).as(body)
					.isEqualTo(400);
			}
		}

		@Test
		void ofAQueryIsRefused() throws Exception {
			assertThat(PlatformStandInTests.this.http.get("/table/rows?limit=many").statusCode()).isEqualTo(400);
		}

	}

}
