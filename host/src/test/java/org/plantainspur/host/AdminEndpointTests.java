package org.plantainspur.host;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.api.Timeout;

import org.plantainspur.core.health.HealthView;
import org.plantainspur.core.peer.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against admin endpoints that hide or misreport the state of a host.
 */
@Timeout(60)
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class AdminEndpointTests {

	private RunningHost host;

	@BeforeAll
	void start() throws Exception {
		this.host = new RunningHost((target, request, idempotent, timeout) -> RunningHost.ok());
		this.host.exchange(
				"GET /booking HTTP/1.1\r\nHost: x\r\nX-Api-Key: " + RunningHost.KEY + "\r\nConnection: close\r\n\r\n");
	}

	@AfterAll
	void stop() throws Exception {
		this.host.close();
	}

	private HttpResponse<String> get(String path) throws Exception {
		return HttpClient.newHttpClient()
			.send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.host.adminPort + path)).build(),
					HttpResponse.BodyHandlers.ofString());
	}

	private JsonNode json(String path) throws Exception {
		return new ObjectMapper().readTree(get(path).body());
	}

	@Nested
	class Status {

		@Test
		void hasEveryField() throws Exception {
			JsonNode status = json("/status");
			assertThat(status.fieldNames()).toIterable()
				.containsExactly("hostId", "processId", "region", "failureDomain", "sequence", "current",
						"currencyReason", "stopping", "issuesTokens", "members", "targets", "accountsInUse");
			assertThat(status.path("hostId").asText()).isEqualTo("entry-1");
			assertThat(status.path("current").asBoolean()).isTrue();
			assertThat(status.path("issuesTokens").asBoolean()).isTrue();
			assertThat(status.path("members").path(0).path("hostId").asText()).isEqualTo("entry-1");
			assertThat(status.path("targets").path(0).fieldNames()).toIterable()
				.containsExactlyInAnyOrder("id", "service", "ejected", "weight", "reason", "leaving");
		}

	}

	@Nested
	class Explanation {

		@Test
		void ofATargetNamesItsService() throws Exception {
			assertThat(json("/explain/target/booking-1").path("service").asText()).isEqualTo("booking");
		}

		@Test
		void ofAnEjectedTargetHasTheEvidence() throws Exception {
			String evidence = "failures \"5 of 9\" against siblings, log-likelihood ratio 31";
			JsonNode target = explainAfter(new PeerMessage.Verdict("offers-1", true, 0.1, 0, 31, evidence), 2500);
			assertThat(target.path("ejected").asBoolean()).isTrue();
			assertThat(target.path("reason").asText()).isEqualTo(evidence);
		}

		@Test
		void ofATargetInSlowStartSaysSo() throws Exception {
			JsonNode target = explainAfter(new PeerMessage.Verdict("offers-1", false, 0.4, 0, 0, ""), 2500);
			assertThat(target.path("weight").asDouble()).isEqualTo(0.4);
			assertThat(target.path("reason").asText()).isEqualTo("slow start");
		}

		@Test
		void ofATargetWhoseEjectionExpiredSaysSo() throws Exception {
			JsonNode target = explainAfter(new PeerMessage.Verdict("offers-1", true, 0.1, 0, 31, "failures"), 0);
			assertThat(target.path("ejected").asBoolean()).isFalse();
			assertThat(target.path("reason").asText()).isEqualTo("the last verdict has expired: failures");
		}

		// The host's own coordinator may replace the verdict at any time, so it is
		// applied again until an answer shows it.
		private JsonNode explainAfter(PeerMessage.Verdict verdict, long lifetimeMillis) throws Exception {
			HealthView health = AdminEndpointTests.this.host.health();
			JsonNode target;
			int attempts = 0;
			do {
				health.apply(health.beginReport("offers", "test"),
						new PeerMessage.Verdicts("offers", List.of(verdict), lifetimeMillis, false, List.of()));
				target = json("/explain/target/offers-1");
				attempts++;
			}
			while (target.path("weight").asDouble() != verdict.weight() && attempts < 100);
			return target;
		}

		@Test
		void ofAnAccountNamesItsHomesAndNoKey() throws Exception {
			JsonNode account = json("/explain/account/harbor-clinic");
			assertThat(account.path("homes").path(0).asText()).isEqualTo("entry-1");
			assertThat(account.toString()).doesNotContain(RunningHost.KEY);
		}

		@Test
		void ofAnUnknownNameIsNotFound() throws Exception {
			assertThat(get("/explain/account/nobody").statusCode()).isEqualTo(404);
		}

	}

	@Nested
	class Metrics {

		@Test
		void haveTheRequestsOfEachAccountAndTheStateOfTheHost() throws Exception {
			assertThat(get("/metrics").body())
				.contains("plantainspur_requests_by_account_seconds_bucket{account=\"harbor-clinic\",le=\"0.005\"}")
				.contains("plantainspur_requests_by_route_seconds_count{route=\"read\"}")
				.contains("plantainspur_dispatches_total{outcome=\"answered\",service=\"booking\"}")
				.contains("plantainspur_configuration_current 1.0")
				.contains("plantainspur_queue_wait_seconds_count")
				.contains("plantainspur_retries_total");
		}

		@Test
		void haveTheCrossRegionBytesOfEachRouteClass() throws Exception {
			AdminEndpointTests.this.host.exchange("POST /offers HTTP/1.1\r\nHost: x\r\nX-Api-Key: " + RunningHost.KEY
					+ "\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody");
			assertThat(get("/metrics").body())
				.contains("plantainspur_cross_region_bytes_total{class=\"offers idempotent\"}")
				.doesNotContain("class=\"booking");
		}

	}

	@Nested
	class HealthCheck {

		@Test
		void passesWhileTheConfigurationIsCurrent() throws Exception {
			assertThat(get("/healthcheck").statusCode()).isEqualTo(200);
		}

	}

}
