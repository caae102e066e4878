package org.plantainspur.gateway.http;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.plantainspur.core.target.TargetStatement;

import static org.assertj.core.api.Assertions.assertThat;

class TargetMessageMapperTests {

	private final TargetMessageMapper mapper = new TargetMessageMapper(new HeaderNames("id", "deadline", "signature",
			"account", "expected", "load", "limit", "leaving", "not-run", "Bearer"));

	private static HttpResponse response(int status, String... headers) {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
		for (int i = 0; i < headers.length; i += 2) {
			response.headers().set(headers[i], headers[i + 1]);
		}
		return response;
	}

	/**
	 * Guards against a value that no target should send and that takes a target, or its
	 * limit, out of use.
	 */
	@Nested
	class Statement {

		@Test
		void holdsTheLimitAndWhetherTheTargetIsLeaving() {
			assertThat(TargetMessageMapperTests.this.mapper.toStatement(response(200))).isEqualTo(TargetStatement.NONE);
			assertThat(TargetMessageMapperTests.this.mapper.toStatement(response(200, "limit", "2.5")))
				.isEqualTo(TargetStatement.limitedTo(2.5));
			assertThat(TargetMessageMapperTests.this.mapper.toStatement(response(200, "limit", "3", "leaving", "1")))
				.isEqualTo(new TargetStatement(3, true));
		}

		@ParameterizedTest
		@ValueSource(strings = { "-1", "NaN", "1e9", "Infinity", "many", "1,5", "99999999999" })
		void isNoneIfTheLimitIsNoDecimalNumberInRange(String limit) {
			assertThat(TargetMessageMapperTests.this.mapper.toStatement(response(200, "limit", limit))).isNull();
		}

		@Test
		void tellsThatTheTargetIsLeavingBesideAMalformedLimit() {
			assertThat(TargetMessageMapperTests.this.mapper.toStatement(response(200, "limit", "x", "leaving", "1")))
				.isEqualTo(new TargetStatement(TargetStatement.UNLIMITED, true));
			assertThat(TargetMessageMapperTests.this.mapper.toStatement(response(200, "leaving", "0"))).isNull();
		}

	}

	/** Guards against pauses that last for ever, and dates or numbers misread as one. */
	@Nested
	class Pause {

		@Test
		void isInSecondsAndMayHaveAFraction() {
			assertThat(TargetMessageMapperTests.this.mapper.toPauseMs(response(503, "retry-after", "1.25")))
				.isEqualTo(1_250L);
		}

		@Test
		void isAskedForWithAStatusOf503Only() {
			assertThat(TargetMessageMapperTests.this.mapper.toPauseMs(response(503))).isZero();
			assertThat(TargetMessageMapperTests.this.mapper.toPauseMs(response(429, "retry-after", "1"))).isZero();
		}

		@Test
		void isBounded() {
			assertThat(TargetMessageMapperTests.this.mapper.toPauseMs(response(503, "retry-after", "86400")))
				.isEqualTo(300_000L);
		}

		@ParameterizedTest
		@ValueSource(strings = { "-5", "Wed, 21 Oct 2026 07:28:00 GMT", "soon" })
		void isNotTakenFromAnotherForm(String value) {
			assertThat(TargetMessageMapperTests.this.mapper.toPauseMs(response(503, "retry-after", value))).isNull();
		}

	}

}
