package org.plantainspur.gateway.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.plantainspur.core.reach.RelayKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against requests to relay that no host of the fleet has sent, that were changed
 * on the way, or that were recorded and sent again.
 */
class RelayProofTests {

	private static final long NOW_MS = 1_796_500_000_000L;

	private static final HeaderNames NAMES = new HeaderNames("Id", "Deadline", "Signature", "Account", "Target", "Load",
			"Limit", "Leaving", "Not-Run", "Bearer");

	private static final RelayProof.Place PLACE = new RelayProof.Place("10.0.0.1", 40_000, 3);

	private final RelayKey key = RelayKey.random();

	private final RelayProof proof = new RelayProof(NAMES);

	private FullHttpRequest signed() {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/book/1",
				Unpooled.copiedBuffer("body", StandardCharsets.UTF_8));
		request.headers().set("Id", "r1").set("Account", "mill").set("Deadline", "2000").set("Target", "i-1");
		request.headers().set(RelayHeaders.TARGET, "i-1").set(RelayHeaders.RETRYABLE, "false");
		this.proof.sign(request, this.key, PLACE, NOW_MS);
		return request;
	}

	private boolean isAccepted(FullHttpRequest request, long nowMs) {
		return this.proof.accept(request, this.key, PLACE, nowMs);
	}

	@Test
	void aRequestOfAHostIsAccepted() {
		assertThat(isAccepted(signed(), NOW_MS + 5)).isTrue();
	}

	@Test
	void aRequestWithAnotherKeyIsRejected() {
		assertThat(this.proof.accept(signed(), RelayKey.random(), PLACE, NOW_MS)).isFalse();
	}

	@Nested
	class Changed {

		@Test
		void headersAreRejected() {
			for (String name : new String[] { "Id", "Account", "Deadline", "Target", RelayHeaders.TARGET,
					RelayHeaders.RETRYABLE, RelayHeaders.SENT_MS }) {
				FullHttpRequest request = signed();
				request.headers().set(name, NOW_MS + 1);
				assertThat(isAccepted(request, NOW_MS)).as(name).isFalse();
			}
		}

		@Test
		void pathIsRejected() {
			FullHttpRequest request = signed();
			request.setUri("/book/2");
			assertThat(isAccepted(request, NOW_MS)).isFalse();
		}

		@Test
		void bodyIsRejected() {
			FullHttpRequest request = signed();
			request.content().setByte(0, 'x');
			assertThat(isAccepted(request, NOW_MS)).isFalse();
		}

	}

	@Nested
	class SentAgain {

		@Test
		void isRejectedAtAnyOtherPlace() {
			for (RelayProof.Place place : new RelayProof.Place[] { new RelayProof.Place("10.0.0.1", 40_000, 4),
					new RelayProof.Place("10.0.0.1", 40_001, 3), new RelayProof.Place("10.0.0.2", 40_000, 3) }) {
				assertThat(RelayProofTests.this.proof.accept(signed(), RelayProofTests.this.key, place, NOW_MS))
					.as(place.toString())
					.isFalse();
			}
		}

		@Test
		void isRejectedLater() {
			assertThat(isAccepted(signed(), NOW_MS + RelayProof.MAX_AGE_MS + 1)).isFalse();
		}

	}

	@Nested
	class Malformed {

		@Test
		void proofsAreRejected() {
			for (String text : new String[] { "", "0", "zz", "x".repeat(64), "0".repeat(200) }) {
				FullHttpRequest request = signed();
				request.headers().set(RelayHeaders.PROOF, text);
				assertThat(isAccepted(request, NOW_MS)).as(text).isFalse();
			}
			FullHttpRequest request = signed();
			request.headers().set(RelayHeaders.SENT_MS, "9".repeat(30));
			assertThat(isAccepted(request, NOW_MS)).isFalse();
		}

	}

}
