package org.plantainspur.adapters.http;

import java.nio.charset.StandardCharsets;

import jakarta.ws.rs.core.MultivaluedHashMap;
import jakarta.ws.rs.core.MultivaluedMap;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.request.Headers;
import org.plantainspur.core.request.KeyHash;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an API key that leaves the host in a request to a target or to a peer.
 */
class PresentedKeyTests {

	private final MultivaluedMap<String, String> received = new MultivaluedHashMap<>();

	@Nested
	class RequestHeaders {

		@Test
		void doNotContainTheKey() {
			PresentedKeyTests.this.received.putSingle("x-api-key", "secret");
			PresentedKeyTests.this.received.putSingle("X-Api-Key", "secret");
			PresentedKeyTests.this.received.putSingle("Authorization", "Bearer secret");
			PresentedKeyTests.this.received.putSingle("Accept", "text/plain");
			Headers remaining = PresentedKey.of(PresentedKeyTests.this.received)
				.without(PresentedKeyTests.this.received);
			assertThat(remaining.fields()).containsExactly(new Headers.Field("Accept", "text/plain"));
		}

		@Test
		void areAllKeptIfThereIsNoKey() {
			PresentedKeyTests.this.received.putSingle("Accept", "text/plain");
			PresentedKey key = PresentedKey.of(PresentedKeyTests.this.received);
			assertThat(key.without(PresentedKeyTests.this.received).first("Accept")).isEqualTo("text/plain");
			assertThat(key.hash()).isEmpty();
		}

	}

	@Nested
	class PathQueryAndBody {

		@Test
		void areSearchedLiterallyAndPercentDecoded() {
			PresentedKeyTests.this.received.putSingle("X-Api-Key", "secret");
			PresentedKey key = PresentedKey.of(PresentedKeyTests.this.received);
			assertThat(key.hash()).isEqualTo(KeyHash.of("secret"));
			assertThat(key.isInUriPart("a=secret")).isTrue();
			assertThat(key.isInUriPart("a=%73ecret")).isTrue();
			assertThat(key.isInUriPart("a=%zz")).isFalse();
			assertThat(key.isInUriPart(null)).isFalse();
			assertThat(key.isIn("{\"a\": \"secret\"}".getBytes(StandardCharsets.UTF_8))).isTrue();
			assertThat(key.isIn(new byte[0])).isFalse();
		}

	}

}
