package org.plantainspur.standins.http;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.standins.TestHttpClient;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a stand-in that closes a connection without telling its client, whose
 * next request is then lost on it.
 */
class ConnectionCloseTests {

	private static final int REQUESTS = 2_000;

	@Nested
	class AfterAResponse {

		@Test
		void losesNoRequestOfAClientThatAsksForIt() throws Exception {
			try (StandInServer server = new StandInServer("127.0.0.1", 0,
					(exchange) -> exchange.respond(Response.text(Response.OK, "done")))) {
				TestHttpClient client = new TestHttpClient("127.0.0.1:" + server.port());
				for (int i = 0; i < REQUESTS; i++) {
					assertThat(client.send("POST", "/", "body").statusCode()).as("request %d", i).isEqualTo(200);
				}
			}
		}

	}

}
