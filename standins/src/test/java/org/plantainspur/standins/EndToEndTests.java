package org.plantainspur.standins;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against hosts, targets and a platform that do not work together over real
 * sockets, each in a separate process: when locating a host, checking keys and dispatch
 * tokens, and running a request at most once.
 */
@ExtendWith(SharedFleetExtension.class)
class EndToEndTests {

	private static final ObjectMapper mapper = new ObjectMapper();

	private static final HttpClient httpClient = HttpClient.newHttpClient();

	private static JsonNode locate(TestFleet fleet) throws Exception {
		return mapper.readTree(
				send("GET", fleet.callerAddresses().get(0), "/.plantainspur/locate", Map.of("X-Api-Key", TestFleet.KEY))
					.body());
	}

	private static HttpResponse<String> send(String method, String address, String path, Map<String, String> headers)
			throws Exception {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
			.method(method, HttpRequest.BodyPublishers.ofString(method.equals("GET") ? "" : "{}"));
		headers.forEach(request::header);
		return httpClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
	}

	@Nested
	class IdempotentRequest {

		@Test
		void isServedByTheHostThatLocateNames(TestFleet fleet) throws Exception {
			JsonNode hosts = locate(fleet).path("hosts");
			assertThat(hosts).hasSameSizeAs(fleet.hostIds());
			String host = hosts.path(0).path("address").asText();
			HttpResponse<String> response = send("GET", host, "/booking/17?day=2", Map.of("X-Api-Key", TestFleet.KEY));
			assertThat(response.statusCode()).isEqualTo(200);
			assertThat(response.body()).contains("ran GET /booking/17?day=2 for harbor-clinic")
				.contains("key not seen");
		}

		@Test
		void isRefusedAsNotRunWithAnUnknownKey(TestFleet fleet) throws Exception {
			HttpResponse<String> response = send("GET", fleet.callerAddresses().get(0), "/booking/17",
					Map.of("X-Api-Key", "unknown"));
			assertThat(response.statusCode()).isEqualTo(401);
			assertThat(mapper.readTree(response.body()).path("run").asText()).isEqualTo("not-run");
		}

	}

	@Nested
	class NonIdempotentRequest {

		@Test
		void runsOnceWhenItsCallerRetriesIt(TestFleet fleet) throws Exception {
			JsonNode located = locate(fleet);
			String token = located.path("dispatchToken").asText();
			String host = fleet.callerAddresses().get(0);
			Map<String, String> headers = Map.of("X-Api-Key", TestFleet.KEY, "Idempotency-Key", token + ".offer-1");
			HttpResponse<String> firstResponse = send("POST", host, "/booking", headers);
			HttpResponse<String> secondResponse = send("POST", host, "/booking", headers);
			assertThat(firstResponse.statusCode()).isEqualTo(200);
			assertThat(secondResponse.body()).isEqualTo(firstResponse.body());
			assertThat(fleet.runs()).containsEntry(token + ".offer-1", 1);
		}

		@Test
		void isRefusedAsNotRunWithoutADispatchToken(TestFleet fleet) throws Exception {
			HttpResponse<String> response = send("POST", fleet.callerAddresses().get(0), "/booking",
					Map.of("X-Api-Key", TestFleet.KEY, "Idempotency-Key", "offer-2"));
			assertThat(response.statusCode()).isEqualTo(400);
			assertThat(mapper.readTree(response.body()).path("run").asText()).isEqualTo("not-run");
		}

	}

}
